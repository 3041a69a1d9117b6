import type { FailureKind } from "./failure_kind.ts";
import type { JobAnswer } from "./job_answer.ts";

/** Creates the answer of a request that was certainly not run. */
export function createRefusal(
  kind: FailureKind,
  details: { message: string; retryAfterMs?: number },
): JobAnswer {
  return {
    status: "refused",
    failure: { kind, message: details.message },
    notRun: true,
    retryAfterMs: details.retryAfterMs,
  };
}
