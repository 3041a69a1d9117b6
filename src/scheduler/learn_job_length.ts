import type { ScheduledTask } from "./scheduled_task.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import { USELESS_FACTOR } from "./useless_factor.ts";

/** Extends the critical path of a job, and with it its latency objective, to the run time of a task that is found to be long. */
export function learnJobLength(
  state: SchedulerState,
  task: ScheduledTask,
): void {
  const { job, pace } = task;
  if (!pace) return;
  const { order, arrivedMs, predictedMs } = job;
  const criticalPathMs = pace.scale * predictedMs;
  if (criticalPathMs <= job.criticalPathMs) return;
  const isFirst = job.criticalPathMs === predictedMs;
  const allowedMs = order.stretch * criticalPathMs + order.slackMs;
  job.criticalPathMs = criticalPathMs;
  job.objectiveMs = arrivedMs + allowedMs;
  job.uselessAfterMs = arrivedMs + USELESS_FACTOR * allowedMs;
  if (!isFirst) return;
  recordEvent(state, "jobLong", {
    job: order.id,
    task: task.name,
    endpoint: task.endpointId ?? "",
    scale: Math.round(pace.scale * 100) / 100,
    objectiveMs: Math.round(allowedMs),
  });
}
