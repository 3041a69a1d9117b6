/** Kind of failure or refusal of a job; part of the API for callers. */
export type FailureKind =
  | "taskFailed"
  | "outcomeUnknown"
  | "deadlineExceeded"
  | "cancelled"
  | "ownerLost"
  | "mayHaveRun"
  | "submissionReused"
  | "overloaded"
  | "quotaExceeded"
  | "clientSuspended"
  | "clientUnknown"
  | "neverRunnable"
  | "platformUnavailable"
  | "draining"
  | "notOwner"
  | "ownerUnreachable"
  | "notFound";
