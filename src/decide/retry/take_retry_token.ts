import type { RetryBudget } from "./retry_budget.ts";

/** Takes one token from the retry budget; returns false when less than one is left. */
export function takeRetryToken(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}
