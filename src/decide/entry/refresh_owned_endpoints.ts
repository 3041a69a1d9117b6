import type { EndpointConfiguration } from "../../config/endpoint_configuration.ts";
import { findEndpointShard } from "../own/find_endpoint_shard.ts";
import { limitHandedOverEndpoints } from "../route/limit_handed_over_endpoints.ts";
import { updateEndpoints } from "../route/update_endpoints.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Updates the endpoints that this entry owns to its shards and configuration
 * version. Endpoints of released shards stay usable for the jobs that are still
 * open here.
 */
export function refreshOwnedEndpoints(state: EntryState): void {
  const { configuration } = state.version;
  const shards = configuration.dataCentres[state.dataCentre]?.shards ?? 0;
  const heldShards = findHeldShards(state);
  const unfinishedShards = findUnfinishedShards(state);
  const local = Object.entries(configuration.endpoints)
    .filter(([, endpoint]) => endpoint.dataCentre === state.dataCentre)
    .sort(([one], [other]) => (one < other ? -1 : 1));
  const endpoints = new Map<string, EndpointConfiguration>();
  const heldEndpointIds = new Set<string>();
  for (const [id, endpoint] of local) {
    const idsWithSameServices = local
      .filter(([, other]) => hasSameServices(endpoint, other))
      .map(([name]) => name);
    const shard = findEndpointShard({ id, shards }, idsWithSameServices);
    if (heldShards.has(shard)) heldEndpointIds.add(id);
    if (heldShards.has(shard) || unfinishedShards.has(shard)) {
      endpoints.set(id, endpoint);
    }
  }
  updateEndpoints(state.scheduler, endpoints);
  limitHandedOverEndpoints(state.scheduler, heldEndpointIds);
}

function findHeldShards(state: EntryState): Set<number> {
  const heldShards = [...state.shards.values()].filter((shard) =>
    shard.phase === "active" || shard.phase === "handingOver"
  );
  return new Set(heldShards.map((shard) => shard.index));
}

/** Finds released shards with open jobs, which still need their endpoints. */
function findUnfinishedShards(state: EntryState): Set<number> {
  const unfinishedShards = state.releasedShards.filter((shard) =>
    shard.openJobs > 0
  );
  return new Set(unfinishedShards.map((shard) => shard.index));
}

/** Returns whether two endpoints serve the same services. */
function hasSameServices(
  one: EndpointConfiguration,
  other: EndpointConfiguration,
): boolean {
  return one.services.join() === other.services.join();
}
