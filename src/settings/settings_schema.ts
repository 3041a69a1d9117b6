import { z } from "zod";
import { controlSettingsSchema } from "./control_settings_schema.ts";
import { entrySettingsSchema } from "./entry_settings_schema.ts";

/** The schema of a settings file; `role` determines which keys it may have. */
export const settingsSchema = z.discriminatedUnion("role", [
  entrySettingsSchema,
  controlSettingsSchema,
]);
