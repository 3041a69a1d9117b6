import { computeSchedulingRank } from "../decide/compute_scheduling_rank.ts";
import { canStartLateJob } from "../decide/can_start_late_job.ts";
import { isWanted } from "./is_wanted.ts";
import { isLikelyLate } from "../decide/is_likely_late.ts";
import { BinaryHeap } from "../utils/binary_heap.ts";
import type { ServiceCapacity } from "./service_capacity.ts";
import { computeServiceCapacity } from "./compute_service_capacity.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { startTask } from "./start_task.ts";
import { placeSuspects } from "./place_suspects.ts";
import { canRestart } from "./can_restart.ts";
import { hasForeignRun } from "./has_foreign_run.ts";
import { hasLostRuns } from "./has_lost_runs.ts";
import { isSuspect } from "./is_suspect.ts";

/** Starts waiting tasks as far as free capacity allows, those of the most urgent job first. */
export function placeTasks(state: SchedulerState, nowMs: number): void {
  if (state.waiting.size === 0) return;
  placeSuspects(state, nowMs);
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
  const areLossesSaved = !job.order.isKept ||
    job.savedLossChanges === job.lossChanges;
  let started = 0;
  for (const task of job.tasks) {
    if (task.phase !== "waiting" || task.heldUntilMs > 0) continue;
    if (hasLostRuns(task)) {
      const canStart = areLossesSaved && !isSuspect(task) && canRestart(task);
      if (!canStart) continue;
    }
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
