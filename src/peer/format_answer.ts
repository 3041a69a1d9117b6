import { match } from "ts-pattern";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { AnswerMessage } from "./answer_message.ts";

const EMPTY: AnswerMessage = {
  status: "",
  results: [],
  failureKind: "",
  failureMessage: "",
  mayHaveRun: false,
  notRun: false,
  retryAfterMs: -1,
  record: "",
};

/** Formats a job's answer, and its record as JSON text, as a gRPC message. */
export function formatAnswer(answer: JobAnswer, record = ""): AnswerMessage {
  const base = { ...EMPTY, status: answer.status, record };
  return match(answer)
    .with({ status: "complete" }, ({ results }) => ({ ...base, results }))
    .with({ status: "failed" }, ({ failure, mayHaveRun }) => ({
      ...base,
      failureKind: failure.kind,
      failureMessage: failure.message,
      mayHaveRun,
    }))
    .with({ status: "refused" }, ({ failure, notRun, retryAfterMs }) => ({
      ...base,
      failureKind: failure.kind,
      failureMessage: failure.message,
      notRun,
      retryAfterMs: retryAfterMs ?? -1,
    }))
    .with({ status: "pending" }, ({ retryAfterMs }) => ({
      ...base,
      retryAfterMs,
    }))
    .exhaustive();
}
