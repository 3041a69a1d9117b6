import type { ClientConfiguration } from "../../config/client_configuration.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { FailureKind } from "../job/failure_kind.ts";
import type { JobRequest } from "../job/job_request.ts";
import { computeServiceRate } from "../route/compute_service_rate.ts";
import { findOrCreateRunTimeEstimate } from "../route/find_or_create_run_time_estimate.ts";
import { predictRunTimeMs } from "../route/predict_run_time_ms.ts";
import type { EntrySchedulerState } from "../route/entry_scheduler_state.ts";
import type { Admission } from "./admission.ts";

/** Shortest retry delay that is returned to callers of refused jobs. */
const MIN_RETRY_AFTER_MS = 100;
/** Retry delay that is returned to callers when no endpoint of the service accepts tasks. */
const NO_ENDPOINT_RETRY_AFTER_MS = 2_000;

/**
 * Admits a job or refuses it. A job is refused when no endpoint serves one of
 * its services, when it exceeds the quota of the client, or when its expected
 * wait exceeds its deadline or the configured maximum. A refusal contains a
 * retry delay unless the job can never run.
 */
export function admitJob(
  scheduler: EntrySchedulerState,
  request: JobRequest,
  client: ClientConfiguration,
): Admission {
  const missing = request.tasks.find((task) =>
    !scheduler.endpointsByService.has(task.service)
  );
  if (missing) {
    return refuse("neverRunnable", {
      message:
        `No endpoint serves '${missing.service}' for this client; correct the service's name or ask the operators to add an endpoint`,
    });
  }
  return checkQuota(scheduler, request, client) ??
    checkQueueWait(scheduler, request, client);
}

function checkQuota(
  scheduler: EntrySchedulerState,
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
  const excessTasks = open + count - client.maxTasks;
  return refuse("quotaExceeded", {
    message:
      `The client has ${open} open tasks of ${client.maxTasks}; wait for some to end`,
    retryAfterMs: computeQuotaRetryMs(scheduler, request, excessTasks),
  });
}

/** Computes the time in ms after which the excess tasks are expected to have ended. */
function computeQuotaRetryMs(
  scheduler: EntrySchedulerState,
  request: JobRequest,
  excessTasks: number,
): number {
  const service = request.tasks[0].service;
  const estimate = findOrCreateRunTimeEstimate(
    scheduler,
    request.client,
    service,
  );
  const rate = computeServiceRate(scheduler, service);
  if (rate === 0) return NO_ENDPOINT_RETRY_AFTER_MS;
  return Math.max(MIN_RETRY_AFTER_MS, excessTasks * estimate.meanMs / rate);
}

function checkQueueWait(
  scheduler: EntrySchedulerState,
  request: JobRequest,
  client: ClientConfiguration,
): Admission {
  const { policy } = scheduler;
  const expectedMs = request.tasks.map((task) =>
    predictRunTimeMs(
      findOrCreateRunTimeEstimate(scheduler, request.client, task.service),
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
    const waitMs = computeQueueWaitMs(scheduler, service, {
      request,
      client,
      rate,
    });
    const maxWaitMs = Math.min(policy.maxQueueMs, request.deadlineMs);
    if (waitMs > maxWaitMs) {
      return refuse("overloaded", {
        message: `The wait for '${service}' is about ${
          Math.round(waitMs)
        } ms, over the ${maxWaitMs} ms allowed; try again later`,
        retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs - maxWaitMs),
      });
    }
  }
  return { type: "admitted", expectedMs, workMs };
}

function computeQueueWaitMs(
  scheduler: EntrySchedulerState,
  service: string,
  options: { request: JobRequest; client: ClientConfiguration; rate: number },
): number {
  const workMs = scheduler.waitingWorkMs.get(service) ?? 0;
  const waitMs = workMs / options.rate;
  const ownShare = scheduler.clients.get(options.request.client);
  if (ownShare && ownShare.queued > 0) return waitMs;
  return waitMs * computeFairShare(scheduler, options.client);
}

/**
 * Computes the factor on the queue's wait for a client without queued tasks. The
 * client does not wait for the whole queue, since the clients share the capacity
 * by weight.
 */
function computeFairShare(
  scheduler: EntrySchedulerState,
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
