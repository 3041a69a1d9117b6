import { createRefusal } from "./create_refusal.ts";
import type { JobAnswer } from "./job_answer.ts";

/** Creates the answer to a submission id that stands for other tasks. */
export function createReusedAnswer(): JobAnswer {
  return createRefusal("submissionReused", {
    message:
      "The submission id was used before with other tasks; choose a new id",
  });
}
