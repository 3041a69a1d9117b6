import type { JobAnswer } from "../decide/job/job_answer.ts";

const RETRY_AFTER_MS = 1_000;

/** Creates the answer when the process that knows the job can't be reached; it may be running there. */
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
