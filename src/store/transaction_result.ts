/** What the platform said to a transaction. */
export type TransactionResult =
  | { type: "committed"; revision: number; atMs: number }
  /** Nothing was written: these rows were not as the conditions named them. */
  | { type: "conflict"; keys: string[]; atMs: number };
