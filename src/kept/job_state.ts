/** What a caller is told of a stored job. */
export type JobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";
