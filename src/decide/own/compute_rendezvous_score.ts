import { createHash } from "node:crypto";

/**
 * Divisor that maps a 32-bit hash plus one to a point strictly between 0 and 1,
 * so that every score is finite.
 */
const HASH_RANGE = 2 ** 32 + 2;

/**
 * Computes the score of a process for a shard in weighted rendezvous hashing;
 * the highest score is preferred.
 */
export function computeRendezvousScore(
  shard: number,
  process: { name: string; weight: number },
): number {
  const hash = createHash("sha256").update(`${shard}/${process.name}`).digest();
  const point = (hash.readUInt32BE(0) + 1) / HASH_RANGE;
  return -process.weight / Math.log(point);
}
