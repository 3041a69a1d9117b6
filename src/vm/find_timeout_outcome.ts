import { predictCriticalPathMs } from "../decide/predict_critical_path_ms.ts";
import { findEstimateMs } from "../scheduler/find_estimate_ms.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import type { OpenJob } from "./open_job.ts";

/** An answer that takes longer than this multiple of the latency objective is useless to the caller. */
const MAX_OBJECTIVE_FACTOR = 3;
/** Time after which callers that were refused for lack of a scheduler should retry, in ms: the time that a takeover may take. */
const RETRY_AFTER_MS = 1_000;

/**
 * Finds the outcome of a job that has no scheduler and could no longer end in
 * time: failed when a scheduler had received it, refused otherwise. Undefined
 * while it can still wait for a scheduler.
 */
export function findTimeoutOutcome(
  job: OpenJob,
  nowMs: number,
): JobOutcome | undefined {
  const { order } = job;
  const criticalPathMs = predictCriticalPathMs(
    order.steps,
    order.steps.map(findEstimateMs),
  );
  const allowedMs = MAX_OBJECTIVE_FACTOR *
    (order.stretch * criticalPathMs + order.slackMs);
  const maxWaitMs = Math.min(allowedMs, order.waitMs) - criticalPathMs;
  if (nowMs - job.receivedMs < maxWaitMs) return undefined;
  if (job.submittedEpoch !== 0) return { type: "failed", reason: "outOfTime" };
  return {
    type: "refused",
    reason: "noScheduler",
    retryAfterMs: RETRY_AFTER_MS,
  };
}
