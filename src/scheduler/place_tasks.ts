import { computeSchedulingRank } from "../decide/compute_scheduling_rank.ts";
import { canStartLateJob } from "../decide/can_start_late_job.ts";
import { isWanted } from "./is_wanted.ts";
import { isLikelyLate } from "../decide/is_likely_late.ts";
import { addRun } from "./add_run.ts";
import { BinaryHeap } from "../utils/binary_heap.ts";
import type { ServiceCapacity } from "./service_capacity.ts";
import { computeRun } from "./compute_run.ts";
import { computeServiceCapacity } from "./compute_service_capacity.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordChange } from "./record_change.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Starts what there is room for, the most urgent job first. */
export function placeTasks(state: SchedulerState, nowMs: number): void {
  if (state.waiting.size === 0) return;
  let room = computeServiceCapacity(state);
  const hasStrangers = hasAnyStranger(state);
  const queue = new BinaryHeap<ScheduledJob>();
  for (const job of state.waiting) {
    if (isCandidate(state, job, { room, nowMs })) {
      queue.push(job, computeSchedulingRank(job, nowMs));
    }
  }
  while (queue.size > 0 && hasAnyRoom(room)) {
    const job = queue.pop() as ScheduledJob;
    // What was started since it was queued may have taken its room.
    if (!isCandidate(state, job, { room, nowMs })) continue;
    const started = placeJob(state, job, { nowMs, hasStrangers });
    if (started > 0) room = computeServiceCapacity(state);
  }
}

/** Whether a job may start tasks now; with a long queue and little room few of them can. */
function isCandidate(
  state: SchedulerState,
  job: ScheduledJob,
  at: { room: Map<string, ServiceCapacity>; nowMs: number },
): boolean {
  const { nowMs } = at;
  const room = at.room.get(job.order.service);
  if (!room || !hasRoom(job, room) || !isWanted(job)) return false;
  if (job.order.isKept && nowMs > state.roleExclusiveUntilMs) return false;
  return job.mayHaveStarted || !isLikelyLate(job, nowMs) ||
    canStartLateJob(room);
}

function hasAnyRoom(room: Map<string, ServiceCapacity>): boolean {
  return [...room.values()].some(({ largest }) => largest > 0);
}

/** Whether any step of the job could fit the largest free room, which saves looking at each endpoint. */
function hasRoom(job: ScheduledJob, room: ServiceCapacity): boolean {
  return job.order.steps.some((step) => step.room.cpu <= room.largest);
}

/** Starts what it can of a job; tells how many tasks that are. */
function placeJob(
  state: SchedulerState,
  job: ScheduledJob,
  at: { nowMs: number; hasStrangers: boolean },
): number {
  const { nowMs, hasStrangers } = at;
  let started = 0;
  for (const task of job.tasks) {
    if (task.phase !== "waiting" || task.unaccountedUntilMs > 0) continue;
    const endpoint = chooseEndpoint(state, task, nowMs);
    // Its other run keeps only this task from starting.
    if (!endpoint && hasStrangers && isListedElsewhere(state, task)) continue;
    if (!endpoint) break;
    startTask(state, endpoint, { task, nowMs });
    started += 1;
  }
  return started;
}

function hasAnyStranger(state: SchedulerState): boolean {
  for (const { foreignRuns } of state.endpoints.values()) {
    if (foreignRuns.size > 0) return true;
  }
  return false;
}

/** Whether an endpoint lists a run of the task that this scheduler did not start. */
function isListedElsewhere(
  state: SchedulerState,
  { name }: ScheduledTask,
): boolean {
  for (const { foreignRuns } of state.endpoints.values()) {
    if (foreignRuns.has(name)) return true;
  }
  return false;
}

function startTask(
  state: SchedulerState,
  endpoint: EndpointRecord,
  start: { task: ScheduledTask; nowMs: number },
): void {
  const { task, nowMs } = start;
  const { job } = task;
  const earlierRun = task.run;
  task.run = computeRun(task, endpoint.token);
  task.phase = "starting";
  task.sentMs = nowMs;
  task.confirmedMs = 0;
  task.clearMs = 0;
  task.progress = 0;
  task.expectedEndMs = 0;
  if (!job.mayHaveStarted) recordChange(state, job);
  job.mayHaveStarted = true;
  job.isStarted = true;
  job.waitingCount -= 1;
  if (job.waitingCount === 0) state.waiting.delete(job);
  addRun(endpoint, task);
  const endpointId = endpoint.row.id;
  const leaseEndMs = Math.floor(
    endpoint.clockMs + (nowMs - endpoint.heardMs) + state.limits.leaseMs,
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
    heardAgoMs: Math.round(nowMs - endpoint.heardMs),
  });
}
