import type { EndpointConfiguration } from "../../config/endpoint_configuration.ts";
import { findEndpointShard } from "../own/find_endpoint_shard.ts";
import { limitHandedOver } from "../route/limit_handed_over.ts";
import { updateEndpoints } from "../route/update_endpoints.ts";
import type { EntryState } from "./entry_state.ts";

/** Brings the endpoints that this entry leads in line with its shards and version. */
export function refreshEndpoints(state: EntryState): void {
  const { configuration } = state.version;
  const shards = configuration.dataCentres[state.dataCentre]?.shards ?? 0;
  const held = findHeldShards(state);
  const unfinished = findUnfinishedShards(state);
  const local = Object.entries(configuration.endpoints)
    .filter(([, endpoint]) => endpoint.dataCentre === state.dataCentre)
    .sort(([one], [other]) => (one < other ? -1 : 1));
  const led = new Map<string, EndpointConfiguration>();
  const heldEndpoints = new Set<string>();
  for (const [id, endpoint] of local) {
    const sameKind = local
      .filter(([, other]) => isSameKind(endpoint, other))
      .map(([name]) => name);
    const shard = findEndpointShard({ id, shards }, sameKind);
    if (held.has(shard)) heldEndpoints.add(id);
    if (held.has(shard) || unfinished.has(shard)) led.set(id, endpoint);
  }
  updateEndpoints(state.scheduler, led);
  limitHandedOver(state.scheduler, heldEndpoints);
}

function findHeldShards(state: EntryState): Set<number> {
  const held = [...state.shards.values()].filter((shard) =>
    shard.phase === "active" || shard.phase === "handingOver"
  );
  return new Set(held.map((shard) => shard.index));
}

/** Shards given up whose jobs still need their endpoints. */
function findUnfinishedShards(state: EntryState): Set<number> {
  const unfinished = state.releasedShards.filter((shard) => shard.openJobs > 0);
  return new Set(unfinished.map((shard) => shard.index));
}

function isSameKind(
  one: EndpointConfiguration,
  other: EndpointConfiguration,
): boolean {
  return one.services.join() === other.services.join();
}
