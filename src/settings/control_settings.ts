import type { z } from "zod";
import type { controlSettingsSchema } from "./control_settings_schema.ts";

/** The settings of a control daemon, with defaults filled in. */
export type ControlSettings = z.output<typeof controlSettingsSchema>;
