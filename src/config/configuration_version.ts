import type { Configuration } from "./configuration.ts";

/** A numbered configuration as it goes to processes. */
export type ConfigurationVersion = {
  /** Starts at 1 and rises by one with each accepted patch. */
  version: number;
  configuration: Configuration;
};
