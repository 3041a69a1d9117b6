import { computeDigest } from "../../utils/compute_digest.ts";
import type { JobRequest } from "./job_request.ts";

/**
 * Computes the digest of the tasks of a request; it distinguishes a
 * resubmission from an id that is reused for other tasks.
 */
export function computeRequestDigest(request: JobRequest): string {
  const tasks = request.tasks.map((task) => [
    task.service,
    task.body,
    task.unrepeatable,
  ]);
  return computeDigest(JSON.stringify(tasks));
}
