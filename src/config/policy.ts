import type { Configuration } from "./configuration.ts";

/** The policy section of the configuration. */
export type Policy = Configuration["policy"];
