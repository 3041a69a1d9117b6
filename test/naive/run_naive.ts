import type { JobRequest } from "../../src/decide/job/job_request.ts";

/** The answer of the naive dispatcher to a job. */
export type NaiveAnswer = { status: "complete" | "failed"; results: string[] };

/**
 * Runs jobs with a naive dispatcher, which the answers of the real one are
 * compared with: one process that runs the jobs one after another and remembers
 * the answers in a map. A repeated submission id keeps the first answer. A job
 * fails when the body of one of its tasks has `fail`.
 */
export function runNaive(requests: JobRequest[]): Map<string, NaiveAnswer> {
  const answers = new Map<string, NaiveAnswer>();
  for (const request of requests) {
    const key = `${request.client}/${request.submissionId}`;
    if (answers.has(key)) continue;
    const bodies = request.tasks.map((task) => JSON.parse(task.body));
    const failed = bodies.some((body) => body.fail);
    const results = bodies.map((body) => JSON.stringify({ ran: body.value }));
    answers.set(key, {
      status: failed ? "failed" : "complete",
      results: failed ? [] : results,
    });
  }
  return answers;
}
