import type { RunEnd } from "./run_end.ts";

/** What an endpoint says it runs, and which runs have ended. */
export type EndpointListing = {
  /** When the request for it was sent, by the scheduler's clock, in ms. */
  sentMs: number;
  /** When it arrived, by the scheduler's clock, in ms. */
  receivedMs: number;
  /** The endpoint's clock, in ms. */
  clockMs: number;
  /** Unix ms at which the endpoint's process began. */
  processStartMs: number;
  /** `progress` is the part that is done, 0 to 1. */
  running: { task: string; run: number; progress: number }[];
  ended: RunEnd[];
};
