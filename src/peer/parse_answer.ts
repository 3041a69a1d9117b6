import type { FailureKind } from "../decide/job/failure_kind.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { AnswerMessage } from "./answer_message.ts";

/** Parses a gRPC message into a job's answer. */
export function parseAnswer(message: AnswerMessage): JobAnswer {
  const failure = {
    kind: message.failureKind as FailureKind,
    message: message.failureMessage,
  };
  const { retryAfterMs, notRun, mayHaveRun, results } = message;
  if (message.status === "complete") return { status: "complete", results };
  if (message.status === "failed") {
    return { status: "failed", failure, mayHaveRun };
  }
  if (message.status === "pending") return { status: "pending", retryAfterMs };
  return {
    status: "refused",
    failure,
    notRun,
    retryAfterMs: retryAfterMs < 0 ? undefined : retryAfterMs,
  };
}
