import type { Configuration } from "./configuration.ts";

/** The configuration of one endpoint. */
export type EndpointConfiguration = Configuration["endpoints"][string];
