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
  bornMs: number;
  running: { task: string; run: number }[];
  ended: RunEnd[];
};
