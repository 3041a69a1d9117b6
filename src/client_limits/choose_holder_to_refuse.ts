import type { MemoryHolder } from "./memory_holder.ts";

/**
 * Chooses the holder that has held most memory for longest, by bytes times age,
 * so that neither slow senders nor large bodies keep small quick requests out;
 * undefined if there is none.
 */
export function chooseHolderToRefuse<Holder extends MemoryHolder>(
  holders: Iterable<Holder>,
  nowMs: number,
): Holder | undefined {
  let chosen: Holder | undefined;
  let highestCost = -1;
  for (const holder of holders) {
    const cost = holder.bytes * (nowMs - holder.sinceMs);
    if (cost <= highestCost) continue;
    highestCost = cost;
    chosen = holder;
  }
  return chosen;
}
