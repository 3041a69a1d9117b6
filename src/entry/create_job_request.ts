import type { JobRequest } from "../decide/job/job_request.ts";
import type { SubmissionBody } from "./submission_body.ts";

/** Creates the internal request of a job from the body of a submission. */
export function createJobRequest(submission: SubmissionBody): JobRequest {
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
