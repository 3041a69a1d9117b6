/** The state of a stored job as callers see it. */
export type StoredJobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";
