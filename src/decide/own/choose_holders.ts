import { computeRendezvousScore } from "./compute_rendezvous_score.ts";

/**
 * Chooses the preferred holder of every shard by weighted rendezvous hashing, so
 * that few shards move when a process joins or leaves. No process gets more
 * shards than its share by weight, rounded up. Returns the names of the holders
 * by shard.
 */
export function chooseHolders(
  shards: number,
  processes: { name: string; weight: number }[],
): string[] {
  const totalWeight = processes.reduce((sum, one) => sum + one.weight, 0);
  const remainingShards = new Map(
    processes.map((one) => [
      one.name,
      Math.ceil((shards * one.weight) / totalWeight),
    ]),
  );
  const holders: string[] = [];
  for (let shard = 0; shard < shards; shard += 1) {
    const candidates = processes.filter((one) =>
      (remainingShards.get(one.name) ?? 0) > 0
    );
    const best = candidates.sort((one, other) =>
      computeRendezvousScore(shard, other) - computeRendezvousScore(shard, one)
    )[0];
    if (!best) {
      break;
    }
    holders.push(best.name);
    remainingShards.set(best.name, (remainingShards.get(best.name) ?? 0) - 1);
  }
  return holders;
}
