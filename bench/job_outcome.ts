import type { Arrival } from "./arrival.ts";

/** Outcome of one job as its caller measured it. */
export type JobOutcome = {
  arrival: Arrival;
  /** `broken` means that the latest request got no reply. */
  status: "complete" | "failed" | "refused" | "broken";
  /** Kind of the failure or refusal, if the answer gave one. */
  kind?: string;
  /** Time from the first sending to the final answer, in ms. */
  responseMs: number;
  /** Time from the latest sending to its answer, in ms. */
  answerMs: number;
  /** Time from the first sending to the end of each task at its endpoint, in ms. */
  taskMs: number[];
  /** Number of times that the job was sent. */
  sends: number;
};
