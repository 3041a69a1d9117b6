import type { Configuration } from "./configuration.ts";

/** One client as configured. */
export type ClientConfiguration = Configuration["clients"][string];
