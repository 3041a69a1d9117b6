import { z } from "zod";
import { controlSettingsSchema } from "./control_settings_schema.ts";
import { entrySettingsSchema } from "./entry_settings_schema.ts";

/** The schema of a settings file; its role says which options it takes. */
export const settingsSchema = z.discriminatedUnion("role", [
  entrySettingsSchema,
  controlSettingsSchema,
]);
