/** One start of a task at an endpoint stand-in. */
export type EndpointRecord = {
  taskKey: string;
  attempt: number;
  /** Unix time, in ms. */
  startedAtMs: number;
  outcome: "running" | "done" | "failed" | "cancelled";
};
