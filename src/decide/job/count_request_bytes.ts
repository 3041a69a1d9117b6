import type { TaskRequest } from "./task_request.ts";

/** Counts the bytes of the requests of a job's tasks. */
export function countRequestBytes(tasks: Pick<TaskRequest, "body">[]): number {
  return tasks.reduce((sum, { body }) => sum + Buffer.byteLength(body), 0);
}
