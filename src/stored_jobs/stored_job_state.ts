/** What a caller is told of a stored job. */
export type StoredJobState =
  | "queued"
  | "running"
  | "completed"
  | "failed"
  | "cancelled";
