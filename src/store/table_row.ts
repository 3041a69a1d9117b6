/** A row of the platform's table as read. */
export type TableRow<Value = unknown> = {
  key: string;
  value: Value;
  /** Rises with every write to any row; names this state of the row. */
  revision: number;
  /** When the row was written, by the platform's clock, in Unix ms. */
  updatedAtMs: number;
};
