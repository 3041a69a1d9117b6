/** Answers to callers during an outage of the platform. */
export type OutageRecord = {
  leaseMs: number;
  outageMs: number;
  /** Submission ids: `young` are UUIDv7 whose time is that of sending, `opaque` contain no time. */
  ids: "young" | "opaque";
  sent: number;
  complete: number;
  /** Refusals that state that no task has run. */
  refusedNotRun: number;
  failed: number;
  /** Longest time from the sending of a job to its answer, in ms. */
  slowestMs: number;
};
