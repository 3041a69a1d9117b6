import { findOrderFault } from "./find_order_fault.ts";
import { hasSpaceForJob } from "./has_space_for_job.ts";
import type { JobOrder } from "./job_order.ts";
import type { JobOutcome } from "./job_outcome.ts";
import { measureJob } from "./measure_job.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { SUBMISSION_LIMITS } from "./submission_limits.ts";

/** Time after which a caller may retry when there is no space for its job, in ms: about the time in which the queue of a burst drains. */
const RETRY_AFTER_MS = 1_000;

/** Refuses an order that a VM submits, before any task of it is created: it can't be carried out, or there is no space for its tasks. Returns whether it did. */
export function refuseOrder(
  state: SchedulerState,
  order: JobOrder,
  from: { vm: string; isResubmitted: boolean },
): boolean {
  const reason = findReason(state, order);
  if (!reason) return false;
  // An earlier scheduler may have started the job.
  const outcome: JobOutcome = from.isResubmitted
    ? { type: "failed", reason: "abandoned" }
    : { type: "refused", reason, retryAfterMs: RETRY_AFTER_MS };
  state.effects.push({
    type: "notifyEnded",
    vms: [from.vm],
    jobId: order.id,
    outcome,
  });
  return true;
}

function findReason(
  state: SchedulerState,
  order: JobOrder,
): "malformed" | "noSpace" | undefined {
  const fault = findOrderFault(order, SUBMISSION_LIMITS);
  if (fault) {
    recordEvent(state, "orderRefused", { job: order.id, found: fault.found });
    return "malformed";
  }
  const size = measureJob(order);
  if (hasSpaceForJob(state, { ...size, isKept: false })) return undefined;
  const found =
    `no space for ${size.tasks} further tasks and an order of ${size.bytes} bytes`;
  recordEvent(state, "orderRefused", { job: order.id, found });
  return "noSpace";
}
