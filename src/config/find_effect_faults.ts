import { computeSettlingMs } from "./compute_settling_ms.ts";
import type { Configuration } from "./configuration.ts";

/**
 * Finds effects of a configuration change that would harm running jobs. Returns
 * one message for each. `forcible`: an operator may force the change. `binding`:
 * the change is always refused, because tasks could start twice. Each shard
 * remembers the submission ids of its own clients, so the shard of a client may
 * change only after the client has been suspended for the settling time.
 */
export function findEffectFaults(
  before: Configuration,
  after: Configuration,
  options: {
    /** All configurations that were in force at any time during the settling time. */
    recent: Configuration[];
  },
): { forcible: string[]; binding: string[] } {
  return {
    forcible: findServicesWithoutEndpoints(before, after),
    binding: [
      ...findUnsafeHomeChanges(before, after, options.recent),
      ...findUnsafeShardChanges(before, after, options.recent),
    ],
  };
}

function findServicesWithoutEndpoints(
  before: Configuration,
  after: Configuration,
): string[] {
  const remaining = listServices(after);
  return [...listServices(before)]
    .filter((offer) => !remaining.has(offer))
    .map((offer) => `${offer} would be left with no endpoint`);
}

function listServices(configuration: Configuration): Set<string> {
  const offers = new Set<string>();
  for (const endpoint of Object.values(configuration.endpoints)) {
    if (endpoint.leaving) continue;
    for (const service of endpoint.services) {
      offers.add(`service ${service} in ${endpoint.dataCentre}`);
    }
  }
  return offers;
}

function findUnsafeHomeChanges(
  before: Configuration,
  after: Configuration,
  recent: Configuration[],
): string[] {
  return Object.entries(after.clients)
    .filter(([id, client]) => {
      const old = before.clients[id];
      if (!old || old.homeDataCentre === client.homeDataCentre) return false;
      return !isSuspendedInAll([id], recent);
    })
    .map(([id]) =>
      `clients.${id}.homeDataCentre can change only after the client was suspended for ${
        computeSettlingMs(before)
      } ms`
    );
}

function findUnsafeShardChanges(
  before: Configuration,
  after: Configuration,
  recent: Configuration[],
): string[] {
  return Object.entries(after.dataCentres)
    .filter(([id, dataCentre]) => {
      const old = before.dataCentres[id];
      if (!old || old.shards === dataCentre.shards) return false;
      const clients = Object.keys(before.clients).filter((name) =>
        before.clients[name].homeDataCentre === id
      );
      return !isSuspendedInAll(clients, recent);
    })
    .map(([id]) =>
      `dataCentres.${id}.shards can change only after all clients at home there were suspended for ${
        computeSettlingMs(before)
      } ms`
    );
}

function isSuspendedInAll(clients: string[], recent: Configuration[]): boolean {
  return recent.every((configuration) =>
    clients.every((id) => configuration.clients[id]?.suspended ?? true)
  );
}
