import { computeSchedulingRank } from "../decide/compute_scheduling_rank.ts";
import { canStartLateJob } from "../decide/can_start_late_job.ts";
import { isWanted } from "./is_wanted.ts";
import { isLikelyLate } from "../decide/is_likely_late.ts";
import { addRun } from "./add_run.ts";
import { BinaryHeap } from "../utils/binary_heap.ts";
import type { ServiceCapacity } from "./service_capacity.ts";
import { computeEndpointClock } from "./compute_endpoint_clock.ts";
import { computeRunNumber } from "./compute_run_number.ts";
import { computeServiceCapacity } from "./compute_service_capacity.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordJobChange } from "./record_job_change.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Starts waiting tasks as far as free capacity allows, those of the most urgent job first. */
export function placeTasks(state: SchedulerState, nowMs: number): void {
  if (state.waiting.size === 0) return;
  let capacities = computeServiceCapacity(state);
  const hasForeignRuns = hasAnyForeignRun(state);
  const queue = new BinaryHeap<ScheduledJob>();
  for (const job of state.waiting) {
    if (isCandidate(state, job, { capacities, nowMs })) {
      queue.push(job, computeSchedulingRank(job, nowMs));
    }
  }
  while (queue.size > 0 && hasAnyFreeCapacity(capacities)) {
    const job = queue.pop() as ScheduledJob;
    // Tasks started earlier in this loop may have taken the capacity that the job needs.
    if (!isCandidate(state, job, { capacities, nowMs })) continue;
    const started = placeJob(state, job, { nowMs, hasForeignRuns });
    if (started > 0) capacities = computeServiceCapacity(state);
  }
}

/** Whether a job may start tasks now. Filters the queue cheaply, as few of many waiting jobs can start while little capacity is free. */
function isCandidate(
  state: SchedulerState,
  job: ScheduledJob,
  at: { capacities: Map<string, ServiceCapacity>; nowMs: number },
): boolean {
  const { nowMs } = at;
  const capacity = at.capacities.get(job.order.service);
  if (!capacity || !canStepFit(job, capacity) || !isWanted(job)) return false;
  if (job.order.isKept && nowMs > state.roleExclusiveUntilMs) return false;
  return job.mayHaveStarted || !isLikelyLate(job, nowMs) ||
    canStartLateJob(capacity);
}

function hasAnyFreeCapacity(
  capacities: Map<string, ServiceCapacity>,
): boolean {
  return [...capacities.values()].some(({ maxFreePerEndpoint }) =>
    maxFreePerEndpoint > 0
  );
}

/** Whether a task of any step fits the endpoint with the most free CPU, which avoids a check of each endpoint. */
function canStepFit(job: ScheduledJob, capacity: ServiceCapacity): boolean {
  return job.order.steps.some((step) =>
    step.room.cpu <= capacity.maxFreePerEndpoint
  );
}

/** Starts as many of the job's waiting tasks as possible and returns their number. */
function placeJob(
  state: SchedulerState,
  job: ScheduledJob,
  at: { nowMs: number; hasForeignRuns: boolean },
): number {
  const { nowMs, hasForeignRuns } = at;
  let started = 0;
  for (const task of job.tasks) {
    if (task.phase !== "waiting" || task.heldUntilMs > 0) continue;
    const endpoint = chooseEndpoint(state, task, nowMs);
    // A foreign run keeps only its own task from starting; the job's next task may start.
    if (!endpoint && hasForeignRuns && hasForeignRun(state, task)) continue;
    if (!endpoint) break;
    startTask(state, endpoint, { task, nowMs });
    started += 1;
  }
  return started;
}

function hasAnyForeignRun(state: SchedulerState): boolean {
  for (const { foreignRuns } of state.endpoints.values()) {
    if (foreignRuns.size > 0) return true;
  }
  return false;
}

/** Whether an endpoint lists a foreign run of the task. */
function hasForeignRun(
  state: SchedulerState,
  { name }: ScheduledTask,
): boolean {
  for (const { foreignRuns } of state.endpoints.values()) {
    if (foreignRuns.has(name)) return true;
  }
  return false;
}

/** Starts a task at an endpoint: reserves its resources, and emits the start request and the notification of its VMs. */
function startTask(
  state: SchedulerState,
  endpoint: EndpointRecord,
  start: { task: ScheduledTask; nowMs: number },
): void {
  const { task, nowMs } = start;
  const { job } = task;
  const earlierRun = task.run;
  task.run = computeRunNumber(task, endpoint.token);
  task.phase = "starting";
  task.startSentMs = nowMs;
  task.startConfirmedMs = 0;
  task.startedClockMs = 0;
  task.stoppedByMs = 0;
  task.progress = 0;
  task.expectedEndMs = 0;
  if (!job.mayHaveStarted) recordJobChange(state, job);
  job.mayHaveStarted = true;
  job.hasKnownStart = true;
  job.waitingTaskCount -= 1;
  if (job.waitingTaskCount === 0) state.waiting.delete(job);
  addRun(endpoint, task);
  const endpointId = endpoint.row.id;
  const leaseEndMs = Math.floor(
    computeEndpointClock(endpoint, nowMs) + state.limits.leaseMs,
  );
  endpoint.leaseEndMs = Math.max(endpoint.leaseEndMs, leaseEndMs);
  const vms = [...job.vms];
  state.effects.push({
    type: "notifyPlaced",
    vms,
    task: task.name,
    endpointId,
  });
  const { run } = task;
  state.effects.push({ type: "startTask", endpointId, task, run, leaseEndMs });
  recordEvent(state, "taskPlaced", {
    task: task.name,
    run,
    endpoint: endpointId,
    token: endpoint.token,
    earlierRun,
    waitedMs: Math.round(nowMs - job.arrivedMs),
    usedCpu: endpoint.used.cpu,
    slowness: Math.round(endpoint.slowness * 100) / 100,
    heardAgoMs: Math.round(nowMs - endpoint.lastReplyMs),
  });
}
