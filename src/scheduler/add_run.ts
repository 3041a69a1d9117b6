import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskRoom } from "./read_task_room.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Counts a run against its endpoint's room. */
export function addRun(endpoint: EndpointRecord, task: ScheduledTask): void {
  const room = readTaskRoom(task);
  endpoint.used.cpu += room.cpu;
  endpoint.used.memoryMb += room.memoryMb;
  endpoint.used.gpus += room.gpus;
  endpoint.runs.set(task.name, task);
  task.endpointId = endpoint.row.id;
  task.unaccountedUntilMs = 0;
}
