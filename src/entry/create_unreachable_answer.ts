import type { JobAnswer } from "../decide/job/job_answer.ts";

const RETRY_AFTER_MS = 1_000;

/** Creates the answer for a job whose holder or owner can't be reached; the job may be running there. */
export function createUnreachableAnswer(): JobAnswer {
  return {
    status: "refused",
    failure: {
      kind: "ownerUnreachable",
      message:
        "The entry that holds this id can't be reached now; send the same request, with the same id, again",
    },
    notRun: false,
    retryAfterMs: RETRY_AFTER_MS,
  };
}
