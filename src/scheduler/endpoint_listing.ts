import type { RunEnd } from "./run_end.ts";

/** An endpoint's listing: its active runs and its run ends. */
export type EndpointListing = {
  /** When the listing was requested, by the scheduler's clock, in ms. */
  sentMs: number;
  /** When the listing arrived, by the scheduler's clock, in ms. */
  receivedMs: number;
  /** The endpoint's clock, in ms. */
  clockMs: number;
  /** Start of the endpoint's process, in Unix ms. */
  processStartMs: number;
  /** Active runs; `progress` is the completed fraction, 0 to 1. */
  running: { task: string; run: number; progress: number }[];
  /** Run ends that the scheduler has not acknowledged yet. */
  ended: RunEnd[];
};
