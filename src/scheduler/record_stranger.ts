import { addRun } from "./add_run.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { parseTaskName } from "./parse_task_name.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Meets a run that this scheduler did not start: its job's task goes on with it, if it may. */
export function recordStranger(
  state: SchedulerState,
  endpoint: EndpointRecord,
  met: { task: string; run: number; nowMs: number },
): void {
  const known = endpoint.strangers.get(met.task);
  if (known && known.run === met.run) return;
  const task = findWaitingTask(state, met.task);
  const hasOther = endpoint.runs.has(met.task);
  if (!task || hasOther) {
    const { run, nowMs } = met;
    endpoint.strangers.set(met.task, {
      run,
      seenMs: nowMs,
      isStopping: false,
    });
    return;
  }
  if (task.phase === "waiting") task.job.waitingCount -= 1;
  task.phase = "running";
  task.run = met.run;
  task.job.isBegun = true;
  addRun(endpoint, task);
}

function findWaitingTask(state: SchedulerState, name: string) {
  const parsed = parseTaskName(name);
  const job = parsed && state.jobs.get(parsed.jobId);
  if (!job || job.outcome) return undefined;
  return job.tasks.find((task) =>
    task.name === name &&
    (task.phase === "waiting" || task.phase === "blocked")
  );
}
