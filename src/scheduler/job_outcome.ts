/** How a job ended, as its callers are notified. */
export type JobOutcome =
  /** Every task is done. */
  | { type: "completed" }
  /** The job ended without success after a task may have run. */
  | { type: "failed"; reason: FailureReason }
  /** No task has run or will run. */
  | { type: "refused"; reason: RefusalReason; retryAfterMs: number };

type FailureReason =
  | "attemptsUsed"
  | "endpointsCrashed"
  | "outOfTime"
  | "abandoned"
  | "cancelled"
  | "malformed"
  | "evacuated";
type RefusalReason =
  | "outOfTime"
  | "noRoomInTime"
  | "neverFits"
  | "noEndpoints"
  | "unsupported"
  | "abandoned"
  | "cancelled"
  | "stopping"
  | "noScheduler"
  | "malformed"
  | "noSpace"
  | "evacuated";
