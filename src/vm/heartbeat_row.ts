import type { GroupSummary } from "./group_summary.ts";

/** The scheduler's heartbeat in the store: shows that its process runs and reaches the store. */
export type HeartbeatRow = {
  epoch: number;
  /** Time of the heartbeat by the store's clock, in ms. */
  storeMs: number;
  /** For the schedulers of other groups; absent in the row that is written when the role is taken. */
  summary?: GroupSummary;
};
