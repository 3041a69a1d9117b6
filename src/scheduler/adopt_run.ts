import { addRun } from "./add_run.ts";
import { changeTaskPhase } from "./change_task_phase.ts";
import { confirmStart } from "./confirm_start.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { isSuspect } from "./is_suspect.ts";
import { recordEvent } from "./record_event.ts";
import { recordKnownStart } from "./record_known_start.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { UNKNOWN_RUN } from "./unknown_run.ts";

/** Adopts a run that another scheduler or a solo VM has started: the task counts as running at that endpoint. */
export function adoptRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  adopted: {
    task: ScheduledTask;
    run: number;
    /** `listing`: an endpoint listed the run of a known job; `handIn`: a job was submitted whose run had been listed before. */
    from: "listing" | "handIn";
    nowMs: number;
  },
): void {
  const { task, run, from, nowMs } = adopted;
  recordEvent(state, "runAdopted", {
    task: task.name,
    run,
    endpoint: endpoint.row.id,
    from,
    token: endpoint.token,
    earlierRun: task.run,
    listedAgoMs: Math.round(nowMs - endpoint.listingRequestedMs),
  });
  task.run = run;
  changeTaskPhase(state, task, "adopt");
  // Reset what is known of the task's earlier run; none of it applies to the adopted run.
  task.startConfirmedMs = 0;
  confirmStart(endpoint, task, { nowMs });
  task.stoppedByMs = 0;
  task.progress = 0;
  task.expectedEndMs = 0;
  task.job.mayHaveStarted = true;
  recordKnownStart(state, task.job);
  addRun(endpoint, task);
  recordDoubtfulRun(task);
  if (isSuspect(task)) endpoint.isolatedTask ??= task;
}

/** The adopted run is the doubtful one whose number was not known, if there is one. */
function recordDoubtfulRun(task: ScheduledTask): void {
  const { doubtfulRuns, run } = task;
  const unknown = doubtfulRuns.indexOf(UNKNOWN_RUN);
  if (!doubtfulRuns.includes(run) && unknown >= 0) doubtfulRuns[unknown] = run;
  task.isStartCounted = doubtfulRuns.includes(run);
}
