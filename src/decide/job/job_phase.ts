/** The states of charts/job.json. */
export type JobPhase =
  | "claiming"
  | "running"
  | "complete"
  | "failed"
  | "refused";
