/** Why a job failed or was refused; part of the callers' interface. */
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
