import type { JobAnswer } from "../decide/job/job_answer.ts";

/**
 * Formats an answer as the JSON body of a response. Results are JSON texts
 * already and are inserted unchanged.
 */
export function formatAnswerBody(
  job: { client: string; submissionId: string },
  answer: JobAnswer,
): string {
  const { client, submissionId } = job;
  if (answer.status !== "complete") {
    return JSON.stringify({ client, submissionId, ...answer });
  }
  const head = JSON.stringify({ client, submissionId, status: "complete" });
  return `${head.slice(0, -1)},"results":[${answer.results.join(",")}]}`;
}
