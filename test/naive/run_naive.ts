import type { JobRequest } from "../../src/decide/job/job_request.ts";

/** What the naive dispatcher says of a job. */
export type NaiveAnswer = { status: "complete" | "failed"; results: string[] };

/** The naive dispatcher: one process, one map, one job after the other. */
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
