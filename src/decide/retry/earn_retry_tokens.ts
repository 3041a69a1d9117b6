import type { RetryBudget } from "./retry_budget.ts";

/** Maximum number of retry tokens in the budget. */
const MAX_TOKENS = 100;

/**
 * Adds the tokens that a first attempt earns; `ratio` is the number of retries
 * allowed per first attempt.
 */
export function earnRetryTokens(budget: RetryBudget, ratio: number): void {
  budget.tokens = Math.min(MAX_TOKENS, budget.tokens + ratio);
}
