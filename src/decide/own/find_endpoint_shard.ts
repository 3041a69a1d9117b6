/**
 * Finds the shard that owns an endpoint, that is whose holder sends it tasks.
 * The endpoints of a data centre with the same services are distributed over
 * the shards round-robin, so that every shard gets its part of them.
 * `idsWithSameServices` contains the sorted ids of these endpoints.
 */
export function findEndpointShard(
  endpoint: { id: string; shards: number },
  idsWithSameServices: string[],
): number {
  return idsWithSameServices.indexOf(endpoint.id) % endpoint.shards;
}
