import type { ControlSettings } from "./control_settings.ts";
import type { EntrySettings } from "./entry_settings.ts";

/** The settings of either role. */
export type Settings = EntrySettings | ControlSettings;
