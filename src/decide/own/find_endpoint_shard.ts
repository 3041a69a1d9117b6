/**
 * Finds the shard that leads an endpoint: the endpoints of a data centre are
 * dealt out in the order of their ids, service by service, so that every shard
 * gets its part of each.
 */
export function findEndpointShard(
  place: { id: string; shards: number },
  sameKind: string[],
): number {
  return sameKind.indexOf(place.id) % place.shards;
}
