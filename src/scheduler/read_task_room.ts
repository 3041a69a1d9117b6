import type { ScheduledTask } from "./scheduled_task.ts";
import type { StepOrder } from "./step_order.ts";

/** Reads the room that a task takes. */
export function readTaskRoom(task: ScheduledTask): StepOrder["room"] {
  return task.job.order.steps[task.step].room;
}
