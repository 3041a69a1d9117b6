import type { Configuration } from "./configuration.ts";

/** One endpoint as configured. */
export type EndpointConfiguration = Configuration["endpoints"][string];
