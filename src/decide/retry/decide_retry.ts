import { match } from "ts-pattern";
import type { Policy } from "../../config/policy.ts";
import type { AttemptOutcome } from "../job/attempt_outcome.ts";
import type { TaskState } from "../job/task_state.ts";
import type { RetryBudget } from "./retry_budget.ts";
import { takeRetryToken } from "./take_retry_token.ts";

/**
 * Decides whether a task may be sent again after an attempt that did not
 * succeed. This needs proof that the attempt never started or that it ended. An
 * attempt that never started may be repeated until the deadline of the job; a
 * task that ran and failed is repeated only a few times, within the retry budget.
 */
export function decideRetry(
  task: TaskState,
  outcome: AttemptOutcome,
  options: { policy: Policy; budget: RetryBudget },
): boolean {
  return match(outcome.type)
    .with("neverSent", "refused", () => true)
    .with("failed", () => canRunAgain(task, options))
    .with("unknown", "done", () => false)
    .exhaustive();
}

function canRunAgain(
  task: TaskState,
  options: { policy: Policy; budget: RetryBudget },
): boolean {
  const { policy, budget } = options;
  if (task.request.unrepeatable) return false;
  if (policy.retryAfterFailure === "never") return false;
  if (task.failures >= policy.maxAttempts) return false;
  return takeRetryToken(budget);
}
