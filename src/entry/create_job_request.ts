import type { JobRequest } from "../decide/job/job_request.ts";
import type { Submission } from "./submission.ts";

/** Creates the request that decisions work with from what a caller posted. */
export function createJobRequest(submission: Submission): JobRequest {
  return {
    client: submission.client,
    submissionId: submission.submissionId,
    deadlineMs: submission.deadlineMs,
    tasks: submission.tasks.map((task) => ({
      service: task.service,
      body: JSON.stringify(task.body),
      unrepeatable: task.unrepeatable,
      declaredMs: task.declaredRunTimeMs,
    })),
  };
}
