import { createRefusal } from "./create_refusal.ts";
import type { JobAnswer } from "./job_answer.ts";

/** Creates the answer to a request whose submission id was used before with other tasks. */
export function createReusedIdRefusal(): JobAnswer {
  return createRefusal("submissionReused", {
    message:
      "The submission id was used before with other tasks; choose a new id",
  });
}
