import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskResources } from "./read_task_resources.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Whether the task fits beside the runs that the endpoint has. */
export function hasRoomFor(
  { row, used }: EndpointRecord,
  task: ScheduledTask,
): boolean {
  const { cpu, memoryMb, gpus } = readTaskResources(task);
  return used.cpu + cpu <= row.room.cpu &&
    used.memoryMb + memoryMb <= row.room.memoryMb &&
    used.gpus + gpus <= row.room.gpus;
}
