import type { JobAnswer } from "../decide/job/job_answer.ts";

const RATE_LIMIT_KINDS = ["overloaded", "quotaExceeded"];
const UNAVAILABLE_KINDS = [
  "platformUnavailable",
  "draining",
  "notOwner",
  "ownerUnreachable",
];

/** Computes the HTTP status of an answer. */
export function computeAnswerStatus(
  answer: JobAnswer,
): 200 | 202 | 403 | 404 | 409 | 422 | 429 | 503 {
  if (answer.status === "complete") return 200;
  if (answer.status === "pending") return 202;
  if (answer.status === "failed") return 422;
  const { kind } = answer.failure;
  if (RATE_LIMIT_KINDS.includes(kind)) return 429;
  if (UNAVAILABLE_KINDS.includes(kind)) return 503;
  if (kind === "submissionReused") return 409;
  if (kind === "notFound") return 404;
  if (kind === "clientSuspended" || kind === "clientUnknown") return 403;
  return 422;
}
