import { predictCriticalPathMs } from "../decide/predict_critical_path_ms.ts";
import { changeTaskCount } from "./change_task_count.ts";
import { countOrderBytes } from "./count_order_bytes.ts";
import { formatTaskName } from "./format_task_name.ts";
import type { JobOrder } from "./job_order.ts";
import { predictRunMs } from "./predict_run_ms.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** An answer is useless to the caller after this many times the latency objective. */
const USELESS_FACTOR = 3;
/** Weight of the latest job in a service's mean CPU need of a task. */
const TASK_CPU_WEIGHT = 0.05;

/** Creates a job with its tasks, none of which has started, and updates the service's mean CPU need of a task. */
export function createJob(
  state: SchedulerState,
  order: JobOrder,
  nowMs: number,
): ScheduledJob {
  const runMs = order.steps.map((step) =>
    predictRunMs(state, order.route, step)
  );
  const criticalPathMs = predictCriticalPathMs(order.steps, runMs);
  updateTaskCpu(state, order);
  const arrivedMs = nowMs - order.ageMs;
  const allowedMs = order.stretch * criticalPathMs + order.slackMs;
  const job: ScheduledJob = {
    order,
    orderBytes: countOrderBytes(order),
    vms: new Set(),
    tasks: [],
    blockedTaskCount: 0,
    waitingTaskCount: 0,
    openTaskCount: 0,
    arrivedMs,
    runMs,
    criticalPathMs,
    objectiveMs: arrivedMs + allowedMs,
    uselessAfterMs: arrivedMs + USELESS_FACTOR * allowedMs,
    mayHaveStarted: false,
    hasKnownStart: false,
    endedMs: 0,
    unsavedEnds: [],
    lossChanges: 0,
    savedLossChanges: 0,
  };
  job.tasks = order.steps.flatMap((step, stepIndex) =>
    Array.from(
      { length: step.count },
      (_, index) => createTask(job, stepIndex, index),
    )
  );
  job.blockedTaskCount = job.tasks.length;
  job.openTaskCount = job.tasks.length;
  changeTaskCount(state, job, job.tasks.length);
  state.orderBytes[order.isKept ? "stored" : "unstored"] += job.orderBytes;
  return job;
}

function updateTaskCpu(state: SchedulerState, order: JobOrder): void {
  const [step] = order.steps;
  if (!step) return;
  const known = state.taskCpu.get(order.service) ?? step.room.cpu;
  const mean = known + (step.room.cpu - known) * TASK_CPU_WEIGHT;
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
    startSentMs: 0,
    startConfirmedMs: 0,
    startedClockMs: 0,
    stoppedByMs: 0,
    failedRuns: [],
    lostRuns: [],
    doubtfulRuns: [],
    isStartCounted: false,
    failedEndpointIds: [],
    heldUntilMs: 0,
    isHoldCounted: false,
    listingsValidFromMs: 0,
    progress: 0,
    expectedEndMs: 0,
    moveCount: 0,
  };
}
