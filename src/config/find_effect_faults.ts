import { computeSettlingMs } from "./compute_settling_ms.ts";
import type { Configuration } from "./configuration.ts";

/**
 * Finds effects of a change that would harm what is running. An operator may
 * force the first kind. The binding kind guards against double starts: keys are
 * remembered by shard, so a client changes shards only while suspended.
 */
export function findEffectFaults(
  before: Configuration,
  after: Configuration,
  options: {
    /** Every configuration in force at any time during the settling time. */
    recent: Configuration[];
  },
): { forcible: string[]; binding: string[] } {
  return {
    forcible: findLostServices(before, after),
    binding: [
      ...findUnsafeHomes(before, after, options.recent),
      ...findUnsafeShards(before, after, options.recent),
    ],
  };
}

function findLostServices(
  before: Configuration,
  after: Configuration,
): string[] {
  const left = listServices(after);
  return [...listServices(before)]
    .filter((place) => !left.has(place))
    .map((place) => `${place} would be left with no endpoint`);
}

function listServices(configuration: Configuration): Set<string> {
  const places = new Set<string>();
  for (const endpoint of Object.values(configuration.endpoints)) {
    if (endpoint.leaving) continue;
    for (const service of endpoint.services) {
      places.add(`service ${service} in ${endpoint.dataCentre}`);
    }
  }
  return places;
}

function findUnsafeHomes(
  before: Configuration,
  after: Configuration,
  recent: Configuration[],
): string[] {
  return Object.entries(after.clients)
    .filter(([id, client]) => {
      const old = before.clients[id];
      if (!old || old.homeDataCentre === client.homeDataCentre) return false;
      return !isSettled([id], recent);
    })
    .map(([id]) =>
      `clients.${id}.homeDataCentre can change only after the client was suspended for ${
        computeSettlingMs(before)
      } ms`
    );
}

function findUnsafeShards(
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
      return !isSettled(clients, recent);
    })
    .map(([id]) =>
      `dataCentres.${id}.shards can change only after all clients at home there were suspended for ${
        computeSettlingMs(before)
      } ms`
    );
}

function isSettled(clients: string[], recent: Configuration[]): boolean {
  return recent.every((configuration) =>
    clients.every((id) => configuration.clients[id]?.suspended ?? true)
  );
}
