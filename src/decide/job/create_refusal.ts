import type { FailureKind } from "./failure_kind.ts";
import type { JobAnswer } from "./job_answer.ts";

/** Creates the answer to a request of which certainly no task ran. */
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
