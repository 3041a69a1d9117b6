import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { EntryContext } from "./entry_context.ts";

/** Told to a caller that waited as long as it asked to, in ms. */
const PENDING_RETRY_AFTER_MS = 200;

/** Registers a caller; its promise resolves with the answer, or as pending after a time. */
export function addCaller(
  context: EntryContext,
  waitMs: number,
): { callerId: string; answer: Promise<JobAnswer> } {
  const callerId = String(context.nextCaller);
  context.nextCaller += 1;
  const answer = new Promise<JobAnswer>((resolve) => {
    const timer = setTimeout(() => {
      context.callers.delete(callerId);
      resolve({ status: "pending", retryAfterMs: PENDING_RETRY_AFTER_MS });
    }, waitMs);
    context.callers.set(callerId, (given) => {
      clearTimeout(timer);
      resolve(given);
    });
  });
  return { callerId, answer };
}
