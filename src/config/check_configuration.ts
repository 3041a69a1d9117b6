import { ChivegradeError } from "../errors/chivegrade_error.ts";
import type { Configuration } from "./configuration.ts";
import { configurationSchema } from "./configuration_schema.ts";

/**
 * Checks a value against the schema, and the references and limits inside it.
 * Returns the configuration with defaults filled in; throws `patchInvalid` with
 * every fault found.
 */
export function checkConfiguration(value: unknown): Configuration {
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) {
    throw createFault(
      parsed.error.issues.map((issue) =>
        `${issue.path.join(".") || "(root)"}: ${issue.message}`
      ),
    );
  }
  const faults = findInconsistencies(parsed.data);
  if (faults.length > 0) throw createFault(faults);
  return parsed.data;
}

function findInconsistencies(configuration: Configuration): string[] {
  const dataCentreNames = Object.keys(configuration.dataCentres);
  const faults: string[] = [];
  for (const [id, client] of Object.entries(configuration.clients)) {
    if (!dataCentreNames.includes(client.homeDataCentre)) {
      faults.push(
        `clients.${id}.homeDataCentre: '${client.homeDataCentre}' is not one of ${dataCentreNames}`,
      );
    }
  }
  for (const [id, endpoint] of Object.entries(configuration.endpoints)) {
    if (!dataCentreNames.includes(endpoint.dataCentre)) {
      faults.push(
        `endpoints.${id}.dataCentre: '${endpoint.dataCentre}' is not one of ${dataCentreNames}`,
      );
    }
    if (endpoint.slots > endpoint.connections) {
      faults.push(
        `endpoints.${id}.slots: ${endpoint.slots} slots need as many connections, but only ${endpoint.connections} are allowed`,
      );
    }
  }
  return faults;
}

function createFault(faults: string[]): ChivegradeError {
  return new ChivegradeError("patchInvalid", {
    found: `The configuration is not valid: ${faults.join("; ")}`,
    remedy: "Correct each named member and send the patch again",
  });
}
