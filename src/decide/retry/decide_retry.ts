import { match } from "ts-pattern";
import type { Policy } from "../../config/policy.ts";
import type { AttemptOutcome } from "../job/attempt_outcome.ts";
import type { TaskState } from "../job/task_state.ts";
import type { RetryBudget } from "./retry_budget.ts";
import { takeRetry } from "./take_retry.ts";

/**
 * Decides whether a task whose attempt did not end well may be sent again:
 * never without proof that the attempt never began or that it ended. What
 * never began may go on until the job's deadline; what failed has few tries.
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
  return takeRetry(budget);
}
