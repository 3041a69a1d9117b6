import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { EntryContext } from "./entry_context.ts";

/** Retry delay in the `pending` answer of a caller whose wait has timed out, in ms. */
const PENDING_RETRY_AFTER_MS = 200;

/**
 * Registers a caller that waits for an answer. The promise resolves with the
 * answer, or with `pending` after `waitMs`.
 */
export function addCaller(
  context: EntryContext,
  waitMs: number,
): { callerId: string; answer: Promise<JobAnswer> } {
  const callerId = String(context.nextCallerId);
  context.nextCallerId += 1;
  const answer = new Promise<JobAnswer>((resolve) => {
    const timer = setTimeout(() => {
      context.callers.delete(callerId);
      resolve({ status: "pending", retryAfterMs: PENDING_RETRY_AFTER_MS });
    }, waitMs);
    context.callers.set(callerId, (received) => {
      clearTimeout(timer);
      resolve(received);
    });
  });
  return { callerId, answer };
}
