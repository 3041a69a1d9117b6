import { countPlaces } from "./count_places.ts";
import { createJob } from "./create_job.ts";
import { endJob } from "./end_job.ts";
import { findRefusal } from "./find_refusal.ts";
import type { JobOrder } from "./job_order.ts";
import { joinProgress } from "./join_progress.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { KnownProgress } from "./known_progress.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import { adoptTasks } from "./adopt_tasks.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { renewJob } from "./renew_job.ts";
import { releaseSteps } from "./release_steps.ts";
import { tryPassJob } from "./try_pass_job.ts";

/** Takes a job from a VM; the same id again joins the job that is there. */
export function submitJob(
  state: SchedulerState,
  order: JobOrder,
  from: { vm: string; nowMs: number; progress?: KnownProgress },
): void {
  const { vm, nowMs, progress } = from;
  const known = state.jobs.get(order.id);
  if (known) {
    const isRenewed = isSentAgain(known, progress);
    if (isRenewed) renewJob(state, known, { ageMs: order.ageMs, nowMs });
    addVm(state, known, { vm, progress });
    if (progress?.wasSolo) joinProgress(state, known, { progress, nowMs });
    recordEvent(state, "jobRejoined", {
      job: order.id,
      vm,
      wasSolo: progress?.wasSolo ?? false,
      ...countProgress(progress),
    });
    if (isRenewed) placeTasks(state, nowMs);
    return;
  }
  const earlier = order.wasPassed ? undefined : state.passed.get(order.id);
  if (earlier) {
    const { group } = earlier;
    state.effects.push({
      type: "notifyPassed",
      vms: [vm],
      jobId: order.id,
      group,
    });
    return;
  }
  const job = createJob(state, order, nowMs);
  job.vms.add(vm);
  state.jobs.set(order.id, job);
  const refusal = findRefusal(state, job, nowMs);
  const isResubmitted = progress?.isResubmitted ?? false;
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
  releaseSteps(state, job);
  if (job.openCount === 0) {
    endJob(state, job, { outcome: { type: "completed" }, nowMs });
    return;
  }
  const isTooFull = state.otherGroupRooms.length > 0 &&
    countPlaces(state, order) < job.waitingCount;
  if (isTooFull && tryPassJob(state, job, nowMs)) return;
  placeTasks(state, nowMs);
}

/**
 * Whether a caller waits for a job again that was given up for want of one, or
 * was refused for a cause that may be over: it has come back, or its VM has.
 */
function isSentAgain(
  { outcome, order }: ScheduledJob,
  progress: KnownProgress | undefined,
): boolean {
  if (order.isKept) return false;
  if (outcome?.type === "refused") {
    return !progress?.isResubmitted && outcome.reason !== "cancelled";
  }
  return outcome?.type === "failed" && outcome.reason === "abandoned" &&
    !progress?.wasSolo;
}

/** A VM that served the job alone may have begun what was refused here. */
function readOutcome(
  outcome: JobOutcome,
  progress: KnownProgress | undefined,
): JobOutcome {
  const isFalse = outcome.type === "refused" && progress?.wasSolo === true;
  return isFalse ? { type: "failed", reason: "abandoned" } : outcome;
}

/** How many of the job's tasks the VM knows to be done, and to be sent somewhere. */
function countProgress(
  progress: KnownProgress | undefined,
): { done: number; placed: number } {
  return {
    done: progress?.done.length ?? 0,
    placed: progress?.placed.length ?? 0,
  };
}

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
