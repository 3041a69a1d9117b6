/** An end that an endpoint lists. */
export type RunEnd = {
  /** Position in the endpoint's list of ends; begins at 1. */
  number: number;
  task: string;
  run: number;
  how: "done" | "failed" | "stopped" | "lapsed" | "other";
};
