/** The result of a transaction. */
export type TransactionResult =
  | { type: "committed"; revision: number; atMs: number }
  /** Nothing was written, because the conditions on the rows with these keys failed. */
  | { type: "conflict"; keys: string[]; atMs: number };
