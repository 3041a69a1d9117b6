import type { RetryBudget } from "./retry_budget.ts";

/** Most retries that may be saved up. */
const MOST_TOKENS = 100;

/** Adds what a first attempt earns. */
export function earnRetry(budget: RetryBudget, ratio: number): void {
  budget.tokens = Math.min(MOST_TOKENS, budget.tokens + ratio);
}
