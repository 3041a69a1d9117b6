import { addRun } from "./add_run.ts";
import { changeTaskPhase } from "./change_task_phase.ts";
import { computeRunNumber } from "./compute_run_number.ts";
import { countStart } from "./count_start.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { hasLostRuns } from "./has_lost_runs.ts";
import { requestStart } from "./request_start.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Starts a task at an endpoint: reserves its resources, and requests the start, that of a stored job's task with lost runs or doubtful starts once the store counts it. */
export function startTask(
  state: SchedulerState,
  endpoint: EndpointRecord,
  start: { task: ScheduledTask; nowMs: number },
): void {
  const { task, nowMs } = start;
  const { job } = task;
  const earlierRun = task.run;
  task.run = computeRunNumber(task, endpoint.token);
  changeTaskPhase(state, task, "start");
  task.startSentMs = nowMs;
  task.startConfirmedMs = 0;
  task.startedClockMs = 0;
  task.stoppedByMs = 0;
  task.progress = 0;
  task.expectedEndMs = 0;
  job.mayHaveStarted = true;
  addRun(endpoint, task);
  // The scheduler may end before it learns whether the start crashes the endpoint.
  if (job.order.isKept && hasLostRuns(task)) {
    countStart(state, task, { earlierRun, nowMs });
  } else requestStart(state, endpoint, { task, earlierRun, nowMs });
}
