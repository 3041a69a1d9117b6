import type { ScheduledTask } from "./scheduled_task.ts";
import type { StepOrder } from "./step_order.ts";

/** Reads the resources that a task needs. */
export function readTaskResources(task: ScheduledTask): StepOrder["room"] {
  return task.job.order.steps[task.step].room;
}
