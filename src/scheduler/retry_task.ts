import { changeTaskPhase } from "./change_task_phase.ts";
import { clearCountedStart } from "./clear_counted_start.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Requeues a task whose run has ended or never started. Does nothing if the job has ended or the task is done or waiting. */
export function retryTask(
  state: SchedulerState,
  task: ScheduledTask,
  lostRun: {
    reason: string;
    /** Endpoint of the run. */
    endpoint: EndpointRecord;
    nowMs: number;
  },
): void {
  const { reason, endpoint, nowMs } = lostRun;
  const { job } = task;
  if (job.outcome || !changeTaskPhase(state, task, "retry")) return;
  clearCountedStart(state, task);
  recordEvent(state, "taskRequeued", {
    task: task.name,
    run: task.run,
    reason,
    endpoint: endpoint.row.id,
    listedAgoMs: Math.round(nowMs - endpoint.listingRequestedMs),
    listedEnds: endpoint.listedEndCount,
  });
}
