import type { GroupSummary } from "./group_summary.ts";

/** The row by which the scheduler shows that it lives and reaches the store. */
export type HeartbeatRow = {
  epoch: number;
  /** The store's clock when it was written, in ms. */
  storeMs: number;
  /** Told to other groups' schedulers; absent until the holder has written its first beat. */
  summary?: GroupSummary;
};
