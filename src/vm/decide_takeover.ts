/** A beat older than this means that the scheduler is gone or without the store, in ms; several beats. */
const STALE_MS = 450;
/** The same for a scheduler that has just begun, in ms: a process that has just started writes its first beats late, and taking its place begins anew. */
const STALE_NEW_MS = 900;
/** The same when its address refuses connections, in ms. */
const STALE_REFUSED_MS = 300;
/** Each further place in the order of succession waits this much longer, in ms. */
const RANK_MS = 80;

/**
 * Decides whether a VM that lost the scheduler takes over. A link that is gone
 * proves little, as only this VM may be cut off; the scheduler's beat in the
 * store decides.
 */
export function decideTakeover(seen: {
  how: "closed" | "silent";
  lostForMs: number;
  /** Undefined when the scheduler has never written one. */
  beatAgeMs: number | undefined;
  /** Place in the order of succession, from 0. */
  rank: number;
  isDraining: boolean;
  /** Whether there has never been a scheduler. */
  isVacant: boolean;
  /** Whether this VM has heard of the scheduler only a moment ago. */
  isNew: boolean;
}): "takeOver" | "wait" {
  const silentMs = seen.isNew ? STALE_NEW_MS : STALE_MS;
  const staleMs = seen.how === "closed" ? STALE_REFUSED_MS : silentMs;
  const rankMs = (seen.rank + (seen.isDraining ? 5 : 0)) * RANK_MS;
  if (seen.isVacant) return seen.lostForMs > rankMs ? "takeOver" : "wait";
  const ageMs = seen.beatAgeMs ?? seen.lostForMs;
  return ageMs > staleMs + rankMs ? "takeOver" : "wait";
}
