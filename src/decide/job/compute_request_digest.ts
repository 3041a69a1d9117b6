import { computeDigest } from "../../utils/compute_digest.ts";
import type { JobRequest } from "./job_request.ts";

/** Computes the digest that tells a resubmission from a reused id. */
export function computeRequestDigest(request: JobRequest): string {
  const tasks = request.tasks.map((task) => [
    task.service,
    task.body,
    task.unrepeatable,
  ]);
  return computeDigest(JSON.stringify(tasks));
}
