import type { z } from "zod";
import type { configurationSchema } from "./configuration_schema.ts";

/** The content of one configuration version, with defaults filled in. */
export type Configuration = z.output<typeof configurationSchema>;
