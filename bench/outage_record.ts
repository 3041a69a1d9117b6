/** What callers were told during an outage of the platform. */
export type OutageRecord = {
  leaseMs: number;
  outageMs: number;
  /** Whether the ids were UUIDv7 made when the job was sent. */
  ids: "young" | "opaque";
  sent: number;
  complete: number;
  refusedNotRun: number;
  failed: number;
  /** Longest time to any answer, in ms. */
  slowestMs: number;
};
