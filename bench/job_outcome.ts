import type { Arrival } from "./arrival.ts";

/** What became of one job, as its caller saw it. */
export type JobOutcome = {
  arrival: Arrival;
  status: "complete" | "failed" | "refused" | "broken";
  kind?: string;
  /** From the first sending to the final answer, in ms. */
  responseMs: number;
  /** From the latest sending to its answer, in ms. */
  answerMs: number;
  /** From the first sending until each task ended at its endpoint, in ms. */
  taskMs: number[];
  /** Times the job was sent. */
  sends: number;
};
