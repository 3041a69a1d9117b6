import type { Configuration } from "./configuration.ts";

/** A numbered configuration, as it is distributed to processes. */
export type ConfigurationVersion = {
  /** Starts at 1 and increases by one with each accepted patch. */
  version: number;
  configuration: Configuration;
};
