import type { ClientConfiguration } from "../../config/client_configuration.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { FailureKind } from "../job/failure_kind.ts";
import type { JobRequest } from "../job/job_request.ts";
import { computeServiceRate } from "../route/compute_service_rate.ts";
import { findRunTimeEstimate } from "../route/find_run_time_estimate.ts";
import { predictRunTime } from "../route/predict_run_time.ts";
import type { SchedulerState } from "../route/scheduler_state.ts";
import type { Admission } from "./admission.ts";

/** Told to callers whose job can be tried again soon, in ms. */
const LEAST_RETRY_AFTER_MS = 100;
/** Told to callers of a service whose endpoints are all out, in ms. */
const NO_ENDPOINT_RETRY_AFTER_MS = 2_000;

/** Admits a job, or refuses it at once with when to come back. */
export function admitJob(
  scheduler: SchedulerState,
  request: JobRequest,
  client: ClientConfiguration,
): Admission {
  const missing = request.tasks.find((task) =>
    !scheduler.byService.has(task.service)
  );
  if (missing) {
    return refuse("neverRunnable", {
      message:
        `No endpoint serves '${missing.service}' for this client; correct the service's name or ask the operators to add an endpoint`,
    });
  }
  return checkQuota(scheduler, request, client) ??
    checkWait(scheduler, request, client);
}

function checkQuota(
  scheduler: SchedulerState,
  request: JobRequest,
  client: ClientConfiguration,
): Admission | undefined {
  const count = request.tasks.length;
  if (count > client.maxTasks) {
    return refuse("neverRunnable", {
      message:
        `The job has ${count} tasks, the client's quota is ${client.maxTasks}; split the job or ask the operators for more`,
    });
  }
  const open = scheduler.clients.get(request.client)?.open ?? 0;
  if (open + count <= client.maxTasks) return undefined;
  const excess = open + count - client.maxTasks;
  return refuse("quotaExceeded", {
    message:
      `The client has ${open} open tasks of ${client.maxTasks}; wait for some to end`,
    retryAfterMs: computeExcessMs(scheduler, request, excess),
  });
}

function computeExcessMs(
  scheduler: SchedulerState,
  request: JobRequest,
  excess: number,
): number {
  const service = request.tasks[0].service;
  const estimate = findRunTimeEstimate(scheduler, request.client, service);
  const rate = computeServiceRate(scheduler, service);
  if (rate === 0) return NO_ENDPOINT_RETRY_AFTER_MS;
  return Math.max(LEAST_RETRY_AFTER_MS, excess * estimate.meanMs / rate);
}

function checkWait(
  scheduler: SchedulerState,
  request: JobRequest,
  client: ClientConfiguration,
): Admission {
  const { policy } = scheduler;
  const expectedMs = request.tasks.map((task) =>
    predictRunTime(
      findRunTimeEstimate(scheduler, request.client, task.service),
      task.declaredMs,
    )
  );
  const workMs = expectedMs.reduce((sum, one) => sum + one, 0);
  for (const service of new Set(request.tasks.map((task) => task.service))) {
    const rate = computeServiceRate(scheduler, service);
    if (rate === 0) {
      return refuse("overloaded", {
        message: `No endpoint of '${service}' can take tasks now; try again`,
        retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS,
      });
    }
    const waitMs = computeWait(scheduler, service, { request, client, rate });
    const boundMs = Math.min(policy.maxQueueMs, request.deadlineMs);
    if (waitMs > boundMs) {
      return refuse("overloaded", {
        message: `The wait for '${service}' is about ${
          Math.round(waitMs)
        } ms, over the ${boundMs} ms allowed; try again later`,
        retryAfterMs: Math.max(LEAST_RETRY_AFTER_MS, waitMs - boundMs),
      });
    }
  }
  return { type: "admitted", expectedMs, workMs };
}

function computeWait(
  scheduler: SchedulerState,
  service: string,
  options: { request: JobRequest; client: ClientConfiguration; rate: number },
): number {
  const waitingMs = scheduler.waitingMs.get(service) ?? 0;
  const waitMs = waitingMs / options.rate;
  const own = scheduler.clients.get(options.request.client);
  if (own && own.queued > 0) return waitMs;
  return waitMs * computeClientShare(scheduler, options.client);
}

/** A client with nothing queued waits only for its fair share of the others. */
function computeClientShare(
  scheduler: SchedulerState,
  client: ClientConfiguration,
): number {
  let others = 0;
  for (const share of scheduler.clients.values()) {
    if (share.queued > 0) others += share.weight;
  }
  return others === 0 ? 1 : 1 / (others + client.weight);
}

function refuse(
  kind: FailureKind,
  details: { message: string; retryAfterMs?: number },
): Admission {
  return { type: "refused", answer: createRefusal(kind, details) };
}
