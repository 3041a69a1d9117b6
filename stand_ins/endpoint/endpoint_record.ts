/** One start of a task as an endpoint saw it. */
export type EndpointRecord = {
  taskKey: string;
  attempt: number;
  /** Unix ms. */
  startedAtMs: number;
  outcome: "running" | "done" | "failed" | "cancelled";
};
