/** Tokens that retries use up and first attempts earn. */
export type RetryBudget = { tokens: number };
