import { createHash } from "node:crypto";

/** Largest value of the hash's first 32 bits, plus two, so that no score is infinite. */
const HASH_RANGE = 2 ** 32 + 2;

/** Computes how strongly a process is preferred for a shard, by weighted rendezvous hashing. */
export function computeRendezvousScore(
  shard: number,
  process: { name: string; weight: number },
): number {
  const hash = createHash("sha256").update(`${shard}/${process.name}`).digest();
  const point = (hash.readUInt32BE(0) + 1) / HASH_RANGE;
  return -process.weight / Math.log(point);
}
