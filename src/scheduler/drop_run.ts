import type { EndpointRecord } from "./endpoint_record.ts";
import { isSuspect } from "./is_suspect.ts";
import { readTaskResources } from "./read_task_resources.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Removes a run that has ended or never started from its endpoint and frees the task's resources there. */
export function dropRun(endpoint: EndpointRecord, task: ScheduledTask): void {
  if (!endpoint.runs.delete(task.name)) return;
  if (endpoint.isolatedTask === task) {
    // The other suspects of its group go on.
    endpoint.isolatedTask = [...endpoint.runs.values()].find(isSuspect);
  }
  const resources = readTaskResources(task);
  endpoint.used.cpu -= resources.cpu;
  endpoint.used.memoryMb -= resources.memoryMb;
  endpoint.used.gpus -= resources.gpus;
  task.endpointId = undefined;
}
