import { addRun } from "./add_run.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Goes on with a run that another scheduler, or a VM that served alone, has started. */
export function adoptRun(
  state: SchedulerState,
  endpoint: EndpointRecord,
  adopted: {
    task: ScheduledTask;
    run: number;
    /** `listing`: the job was known before the run; `handIn`: the run before the job. */
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
    listedAgoMs: Math.round(nowMs - endpoint.listedMs),
  });
  task.run = run;
  task.phase = "running";
  // What was heard of the task's earlier run says nothing of this one.
  task.confirmedMs = nowMs;
  task.clearMs = 0;
  task.progress = 0;
  task.expectedEndMs = 0;
  task.job.mayHaveStarted = true;
  addRun(endpoint, task);
}
