/** States of a job, as in charts/job.json. */
export type JobPhase =
  | "claiming"
  | "running"
  | "complete"
  | "failed"
  | "refused";
