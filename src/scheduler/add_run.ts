import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskResources } from "./read_task_resources.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Adds a task's run to an endpoint and reserves the task's resources there. */
export function addRun(endpoint: EndpointRecord, task: ScheduledTask): void {
  const resources = readTaskResources(task);
  endpoint.used.cpu += resources.cpu;
  endpoint.used.memoryMb += resources.memoryMb;
  endpoint.used.gpus += resources.gpus;
  endpoint.runs.set(task.name, task);
  task.endpointId = endpoint.row.id;
  task.heldUntilMs = 0;
}
