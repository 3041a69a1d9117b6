/** A scheduler whose heartbeat is older than this has stopped or cannot reach the store, in ms; several heartbeat intervals. */
const STALE_HEARTBEAT_MS = 450;
/** Age at which the heartbeat of a scheduler that has just taken the role is stale, in ms: a process that has just started writes its first heartbeats late, and another takeover would only repeat the start-up. */
const STALE_NEW_HOLDER_MS = 900;
/** Age at which the heartbeat of a scheduler whose address refuses connections is stale, in ms. */
const STALE_REFUSED_MS = 300;
/** Ranks by which a VM that should not take over waits longer. */
const LAST_RANKS = 5;
/** Additional wait per succession rank, in ms. */
const RANK_DELAY_MS = 80;

/**
 * Decides whether a VM that has lost its link to the scheduler takes over. A
 * lost link proves little, as this VM alone may be cut off; the age of the
 * scheduler's heartbeat in the store decides.
 */
export function decideTakeover(seen: {
  /** How the link was lost: the address refuses connections, or the scheduler does not answer. */
  how: "closed" | "silent";
  /** Time without a link, in ms. */
  lostForMs: number;
  /** Age of the heartbeat by the store's clock, in ms; undefined when no scheduler has written one. */
  beatAgeMs: number | undefined;
  /** Succession rank, from 0. */
  rank: number;
  /** A draining or slowed VM waits as if its succession rank were higher by 5. */
  isDraining: boolean;
  /** Whether this VM's processor has become slow. */
  isSlowed: boolean;
  /** Whether there has never been a scheduler. */
  isVacant: boolean;
  /** Whether this VM learned of the role holder only a moment ago. */
  isNew: boolean;
}): "takeOver" | "wait" {
  const staleIfSilentMs = seen.isNew ? STALE_NEW_HOLDER_MS : STALE_HEARTBEAT_MS;
  const staleMs = seen.how === "closed" ? STALE_REFUSED_MS : staleIfSilentMs;
  const isLast = seen.isDraining || seen.isSlowed;
  const rankMs = (seen.rank + (isLast ? LAST_RANKS : 0)) * RANK_DELAY_MS;
  if (seen.isVacant) return seen.lostForMs > rankMs ? "takeOver" : "wait";
  const ageMs = seen.beatAgeMs ?? seen.lostForMs;
  return ageMs > staleMs + rankMs ? "takeOver" : "wait";
}
