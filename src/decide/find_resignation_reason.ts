import { isSchedulerTooSlow } from "./is_scheduler_too_slow.ts";
import { isSchedulerTooWeak } from "./is_scheduler_too_weak.ts";

/** A scheduler resigns to a stronger VM at the earliest this long after its start or its last resignation, in ms: until then VMs link and the runs become known. */
const MIN_ROLE_MS = 3_000;
/** A scheduler on a slowed VM resigns at the earliest this long after its start or its last resignation, in ms: it would hardly serve anybody meanwhile. */
const MIN_SLOWED_ROLE_MS = 1_000;

/** A scheduler resigns when its processor has been slow for this long, in ms: until then the slow VMs among its successors are known. */
const MIN_SLOWED_MS = 450;

type Load = {
  /** Mean event-loop delay, in ms. */
  loopDelayMs: number;
  /** How long the VM's processor has been slow, in ms; 0 while it is not. */
  slowedMs: number;
  /** Processor time that the VM gets, in cores. */
  strength: number;
};

/**
 * Finds the reason for which a scheduler resigns in favour of its best
 * successor: its processor has become slow, its event loop cannot keep up, or
 * the successor's processor is much stronger.
 */
export function findResignationReason(
  own: Load & {
    /** Time since the scheduler started or last resigned, in ms. */
    roleAgeMs: number;
  },
  successor: Load,
): "slow" | "weaker" | undefined {
  if (successor.slowedMs > 0) return undefined;
  const isSlowed = own.slowedMs >= MIN_SLOWED_MS;
  if (isSlowed && own.roleAgeMs >= MIN_SLOWED_ROLE_MS) return "slow";
  if (own.roleAgeMs < MIN_ROLE_MS) return undefined;
  const isSlow = isSchedulerTooSlow({
    delayMs: own.loopDelayMs,
    successorDelayMs: successor.loopDelayMs,
  });
  if (isSlow) return "slow";
  return isSchedulerTooWeak(own.strength, successor.strength)
    ? "weaker"
    : undefined;
}
