import type { z } from "zod";
import type { entrySettingsSchema } from "./entry_settings_schema.ts";

/** The settings of an entry process, with defaults filled in. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
