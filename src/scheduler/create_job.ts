import { predictCriticalPathMs } from "../decide/predict_critical_path_ms.ts";
import { formatTaskName } from "./format_task_name.ts";
import type { JobOrder } from "./job_order.ts";
import { predictRunMs } from "./predict_run_ms.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** An answer this many times later than its objective is worth nothing to the caller. */
const USELESS_FACTOR = 3;
/** Weight of the latest job in the mean room of a task. */
const TASK_ROOM_WEIGHT = 0.05;

/** Creates a job with its tasks, none of which has begun. */
export function createJob(
  state: SchedulerState,
  order: JobOrder,
  nowMs: number,
): ScheduledJob {
  const criticalPathMs = predictCriticalPathMs(
    order.steps,
    (step) => predictRunMs(state, order.route, step),
  );
  learnTaskRoom(state, order);
  const arrivedMs = nowMs - order.ageMs;
  const allowedMs = order.stretch * criticalPathMs + order.slackMs;
  const job: ScheduledJob = {
    order,
    vms: new Set(),
    tasks: [],
    waitingCount: 0,
    openCount: 0,
    arrivedMs,
    criticalPathMs,
    objectiveMs: arrivedMs + allowedMs,
    uselessMs: arrivedMs + USELESS_FACTOR * allowedMs,
    mayHaveStarted: false,
    isStarted: false,
    endedMs: 0,
    unsavedEnds: [],
  };
  job.tasks = order.steps.flatMap((step, stepIndex) =>
    Array.from(
      { length: step.count },
      (_, index) => createTask(job, stepIndex, index),
    )
  );
  job.openCount = job.tasks.length;
  return job;
}

function learnTaskRoom(state: SchedulerState, order: JobOrder): void {
  const [step] = order.steps;
  if (!step) return;
  const known = state.taskCpu.get(order.service) ?? step.room.cpu;
  const mean = known + (step.room.cpu - known) * TASK_ROOM_WEIGHT;
  state.taskCpu.set(order.service, mean);
}

function createTask(
  job: ScheduledJob,
  step: number,
  index: number,
): ScheduledTask {
  return {
    name: formatTaskName(job.order.id, step, index),
    job,
    step,
    phase: "blocked",
    run: 0,
    sentMs: 0,
    confirmedMs: 0,
    clearMs: 0,
    failures: 0,
    failedRun: 0,
    failedOn: [],
    unaccountedUntilMs: 0,
    unaccountedSinceMs: 0,
    progress: 0,
    expectedEndMs: 0,
    moves: 0,
  };
}
