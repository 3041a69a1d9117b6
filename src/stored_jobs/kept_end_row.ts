/** How a stored job ended; kept for a while so that its caller can ask. */
export type KeptEndRow = {
  state: "completed" | "failed" | "cancelled";
  /** When it ended, by the scheduler's clock, in Unix ms. */
  endedAtMs: number;
};
