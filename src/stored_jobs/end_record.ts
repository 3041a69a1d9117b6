/** How a stored job ended; kept for the retention period, in which callers may query it. */
export type EndRecord = {
  state: "completed" | "failed" | "cancelled";
  /** When the job ended, by the scheduler's clock, in Unix ms. */
  endedAtMs: number;
};
