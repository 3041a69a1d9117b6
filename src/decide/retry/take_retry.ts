import type { RetryBudget } from "./retry_budget.ts";

/** Takes one retry from the budget; false when it is used up. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}
