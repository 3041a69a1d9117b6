import { computeRendezvousScore } from "./compute_rendezvous_score.ts";

/**
 * Chooses a holder for every shard among the live processes: each shard ranks
 * the processes by hash, and none takes more than its weighted share.
 */
export function chooseHolders(
  shards: number,
  processes: { name: string; weight: number }[],
): string[] {
  const totalWeight = processes.reduce((sum, one) => sum + one.weight, 0);
  const left = new Map(
    processes.map((one) => [
      one.name,
      Math.ceil((shards * one.weight) / totalWeight),
    ]),
  );
  const holders: string[] = [];
  for (let shard = 0; shard < shards; shard += 1) {
    const open = processes.filter((one) => (left.get(one.name) ?? 0) > 0);
    const best = open.sort((one, other) =>
      computeRendezvousScore(shard, other) - computeRendezvousScore(shard, one)
    )[0];
    if (!best) {
      break;
    }
    holders.push(best.name);
    left.set(best.name, (left.get(best.name) ?? 0) - 1);
  }
  return holders;
}
