/**
 * Token bucket that limits retries: first attempts add tokens, each retry of a
 * failed task takes one.
 */
export type RetryBudget = { tokens: number };
