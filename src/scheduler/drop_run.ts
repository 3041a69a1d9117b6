import type { EndpointRecord } from "./endpoint_record.ts";
import { readTaskResources } from "./read_task_resources.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Removes a run that has ended or never started from its endpoint and frees the task's resources there. */
export function dropRun(endpoint: EndpointRecord, task: ScheduledTask): void {
  if (!endpoint.runs.delete(task.name)) return;
  if (endpoint.isolatedTask === task) endpoint.isolatedTask = undefined;
  const resources = readTaskResources(task);
  endpoint.used.cpu -= resources.cpu;
  endpoint.used.memoryMb -= resources.memoryMb;
  endpoint.used.gpus -= resources.gpus;
  task.endpointId = undefined;
}
