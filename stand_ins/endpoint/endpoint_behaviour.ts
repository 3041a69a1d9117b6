/** How an endpoint stand-in behaves. */
export type EndpointBehaviour = {
  /** Tasks run at once. */
  slots: number;
  /** What becomes of more tasks than that. */
  overflow: "refuse" | "queue";
  /** Run time relative to the one that a task asks for. */
  slowness: number;
  /** Whether tasks are run, fail at once, are refused, or never answered. */
  mode: "run" | "fail" | "refuse" | "hang";
};
