import { handOnEvacuatedJob } from "../evacuation/hand_on_evacuated_job.ts";
import { countStartableTasks } from "./count_startable_tasks.ts";
import { createJob } from "./create_job.ts";
import { endJob } from "./end_job.ts";
import { findRefusal } from "./find_refusal.ts";
import type { JobOrder } from "./job_order.ts";
import { mergeProgress } from "./merge_progress.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { KnownProgress } from "./known_progress.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import { adoptTasks } from "./adopt_tasks.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { refuseOrder } from "./refuse_order.ts";
import { reopenJob } from "./reopen_job.ts";
import { releaseBlockedTasks } from "./release_blocked_tasks.ts";
import { tryPassJob } from "./try_pass_job.ts";

/**
 * Accepts a job that a VM submits, and places, passes or refuses it. If the
 * job's id is known the VM joins the known job, which is reopened if it was
 * abandoned or refused for a cause that may be gone.
 */
export function submitJob(
  state: SchedulerState,
  order: JobOrder,
  from: { vm: string; nowMs: number; progress?: KnownProgress },
): void {
  const { vm, nowMs, progress } = from;
  const known = state.jobs.get(order.id);
  if (known) {
    const isReopened = canReopen(known, progress);
    if (isReopened) reopenJob(state, known, { ageMs: order.ageMs, nowMs });
    addVm(state, known, { vm, progress });
    if (progress?.wasSolo) mergeProgress(state, known, { progress, nowMs });
    recordEvent(state, "jobRejoined", {
      job: order.id,
      vm,
      wasSolo: progress?.wasSolo ?? false,
      ...countProgress(progress),
    });
    if (isReopened) placeTasks(state, nowMs);
    return;
  }
  const passed = order.wasPassed ? undefined : state.passedJobs.get(order.id);
  if (passed) {
    const { group } = passed;
    state.effects.push({
      type: "notifyPassed",
      vms: [vm],
      jobId: order.id,
      group,
    });
    return;
  }
  const isResubmitted = progress?.isResubmitted ?? false;
  if (refuseOrder(state, order, { vm, isResubmitted })) return;
  const job = createJob(state, order, nowMs);
  job.vms.add(vm);
  state.jobs.set(order.id, job);
  const refusal = findRefusal(state, job, nowMs);
  recordEvent(state, "jobAccepted", {
    job: order.id,
    route: order.route,
    vm,
    tasks: job.tasks.length,
    ageMs: Math.round(order.ageMs),
    objectiveInMs: Math.round(job.objectiveMs - nowMs),
    isResubmitted,
    wasSolo: progress?.wasSolo ?? false,
    ...countProgress(progress),
  });
  if (refusal && !isResubmitted) {
    endJob(state, job, { outcome: refusal, nowMs });
    return;
  }
  if (progress) adoptTasks(state, job, { progress, nowMs });
  releaseBlockedTasks(state, job);
  if (job.openTaskCount === 0) {
    endJob(state, job, { outcome: { type: "completed" }, nowMs });
    return;
  }
  if (handOnEvacuatedJob(state, job, nowMs)) return;
  const isCapacityShort = state.otherGroupCapacities.length > 0 &&
    countStartableTasks(state, order) < job.waitingTaskCount;
  if (isCapacityShort && tryPassJob(state, job, nowMs)) return;
  placeTasks(state, nowMs);
}

/**
 * Whether an ended job is reopened when a VM submits it again: the job was
 * abandoned because no caller waited for it, or was refused for a cause that
 * may be gone by now.
 */
function canReopen(
  { outcome, order }: ScheduledJob,
  progress: KnownProgress | undefined,
): boolean {
  if (order.isKept) return false;
  if (outcome?.type === "refused") {
    return !progress?.isResubmitted && outcome.reason !== "cancelled";
  }
  return outcome?.type === "failed" &&
    (outcome.reason === "abandoned" || outcome.reason === "evacuated") &&
    !progress?.wasSolo;
}

/** Reads the outcome for a VM. A refusal becomes a failure for a VM that may have started the job in solo mode. */
function readOutcome(
  outcome: JobOutcome,
  progress: KnownProgress | undefined,
): JobOutcome {
  const mayHaveRun = outcome.type === "refused" && progress?.wasSolo === true;
  return mayHaveRun ? { type: "failed", reason: "abandoned" } : outcome;
}

/** Counts the job's tasks that the VM knows as done and as placed. */
function countProgress(
  progress: KnownProgress | undefined,
): { done: number; placed: number } {
  return {
    done: progress?.done.length ?? 0,
    placed: progress?.placed.length ?? 0,
  };
}

/** Adds a VM to a job's waiting VMs, and notifies it of the outcome if the job has ended. */
function addVm(
  state: SchedulerState,
  job: ScheduledJob,
  from: { vm: string; progress?: KnownProgress },
): void {
  const { vm, progress } = from;
  job.vms.add(vm);
  job.orphanedMs = undefined;
  if (!job.outcome) return;
  state.effects.push({
    type: "notifyEnded",
    vms: [vm],
    jobId: job.order.id,
    outcome: readOutcome(job.outcome, progress),
  });
}
