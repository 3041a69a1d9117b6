/** How a stored job ended; kept for the retention period, in which callers may query it. */
export type EndRecord = {
  /** `withdrawn`: cancelled before it was stored. Callers see such a job as unknown, and it is not stored any more. */
  state: "completed" | "failed" | "cancelled" | "withdrawn";
  /** When the job ended, by the clock of the VM that wrote the record, in Unix ms. */
  endedAtMs: number;
};
