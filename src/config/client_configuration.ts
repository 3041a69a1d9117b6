import type { Configuration } from "./configuration.ts";

/** The configuration of one client. */
export type ClientConfiguration = Configuration["clients"][string];
