/** The end of a run, as an endpoint lists it. */
export type RunEnd = {
  /** Number of the run end at its endpoint's process, counted from 1. */
  number: number;
  task: string;
  run: number;
  how: "done" | "failed" | "stopped" | "lapsed" | "other";
};
