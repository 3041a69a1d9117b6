import type { AttemptOutcome } from "../job/attempt_outcome.ts";
import type { JobState } from "../job/job_state.ts";
import { clearEndpointFailure } from "../eject/clear_endpoint_failure.ts";
import { recordEndpointFailure } from "../eject/record_endpoint_failure.ts";
import { recordEndpointRefusal } from "../eject/record_endpoint_refusal.ts";
import { recordEndpointSuccess } from "../eject/record_endpoint_success.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { findOrCreateRunTimeEstimate } from "./find_or_create_run_time_estimate.ts";
import { learnRunTime } from "./learn_run_time.ts";
import type { EntrySchedulerState } from "./entry_scheduler_state.ts";

/**
 * Frees the slot of an attempt that ended and updates the health of the
 * endpoint and the run time estimates.
 */
export function endAttempt(
  scheduler: EntrySchedulerState,
  attempt: { job: JobState; index: number; endpointId: string },
  options: { outcome: AttemptOutcome; tookMs: number; nowMs: number },
): void {
  const endpoint = scheduler.endpoints.get(attempt.endpointId);
  if (!endpoint) return;
  endpoint.inFlight -= 1;
  if (endpoint.isHandedOver) {
    endpoint.limit = Math.min(endpoint.limit, endpoint.inFlight + 1);
  }
  const { outcome, nowMs } = options;
  if (outcome.type === "done") {
    recordEndpointSuccess(endpoint);
    learnFromCompletedTask(scheduler, endpoint, {
      attempt,
      tookMs: options.tookMs,
    });
  } else if (outcome.type === "refused") {
    recordEndpointRefusal(endpoint, nowMs, scheduler.random);
  } else {
    recordAttemptFailure(scheduler, endpoint, { attempt, nowMs });
  }
}

/**
 * Counts a failure against the endpoint, unless the task has failed at another
 * endpoint earlier: the task is then the likely cause.
 */
function recordAttemptFailure(
  scheduler: EntrySchedulerState,
  endpoint: EndpointState,
  options: { attempt: { job: JobState; index: number }; nowMs: number },
): void {
  const { job, index } = options.attempt;
  const task = job.tasks[index];
  const earlier = scheduler.endpoints.get(task.lastFailedEndpointId ?? "");
  task.lastFailedEndpointId = endpoint.id;
  if (earlier && earlier !== endpoint) {
    clearEndpointFailure(earlier);
    return;
  }
  recordEndpointFailure(endpoint, {
    policy: scheduler.policy,
    nowMs: options.nowMs,
    endpointsOfService:
      scheduler.endpointsByService.get(task.request.service) ?? [endpoint],
  });
}

function learnFromCompletedTask(
  scheduler: EntrySchedulerState,
  endpoint: EndpointState,
  options: { attempt: { job: JobState; index: number }; tookMs: number },
): void {
  const { attempt, tookMs } = options;
  const { service, declaredMs } = attempt.job.tasks[attempt.index].request;
  const { client } = attempt.job;
  const estimate = findOrCreateRunTimeEstimate(scheduler, client, service);
  learnRunTime(estimate, { endpoint, tookMs, declaredMs });
}
