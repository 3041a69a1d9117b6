import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskRoom } from "./read_task_room.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Frees the room of a run that has ended or was never there. */
export function dropRun(endpoint: EndpointRecord, task: ScheduledTask): void {
  if (!endpoint.runs.delete(task.name)) return;
  const room = readTaskRoom(task);
  endpoint.used.cpu -= room.cpu;
  endpoint.used.memoryMb -= room.memoryMb;
  endpoint.used.gpus -= room.gpus;
  task.endpointId = undefined;
}
