import { countOrderBytes } from "./count_order_bytes.ts";
import { countTasks } from "./count_tasks.ts";
import type { JobOrder } from "./job_order.ts";
import type { JobSize } from "./job_size.ts";

/** Measures what a job takes in memory. */
export function measureJob(order: JobOrder): JobSize {
  return { tasks: countTasks(order.steps), bytes: countOrderBytes(order) };
}
