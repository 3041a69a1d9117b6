import { configurationSchema } from "../config/configuration_schema.ts";
import type { ConfigurationVersion } from "../config/configuration_version.ts";

/** Creates version 0, the configuration that applies until the first version is accepted. */
export function createInitialVersion(): ConfigurationVersion {
  const configuration = configurationSchema.parse({ dataCentres: {} });
  return { version: 0, configuration };
}
