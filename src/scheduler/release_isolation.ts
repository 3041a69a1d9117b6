import { hasLostRuns } from "./has_lost_runs.ts";
import type { EndpointRecord } from "./endpoint_record.ts";

/** Opens an endpoint to other tasks again that is kept for a suspect which does not need it any more. */
export function releaseIsolation(endpoint: EndpointRecord): void {
  const { isolatedTask, phase, row, runs } = endpoint;
  if (!isolatedTask || runs.get(isolatedTask.name) === isolatedTask) return;
  const isNeeded = isolatedTask.phase === "waiting" &&
    !isolatedTask.job.outcome && hasLostRuns(isolatedTask);
  if (isNeeded && phase === "usable" && !row.isDraining) return;
  endpoint.isolatedTask = undefined;
}
