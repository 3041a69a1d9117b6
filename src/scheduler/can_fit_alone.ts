import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskResources } from "./read_task_resources.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Whether the task fits the endpoint once nothing else runs there. */
export function canFitAlone(
  { row }: EndpointRecord,
  task: ScheduledTask,
): boolean {
  const resources = readTaskResources(task);
  return resources.cpu <= row.room.cpu &&
    resources.memoryMb <= row.room.memoryMb && resources.gpus <= row.room.gpus;
}
