/** Where a task stands. */
export type TaskPhase =
  /** Waits for the steps before its own. */
  | "blocked"
  /** Waits for room. */
  | "waiting"
  /** Its start was sent and not answered yet. */
  | "starting"
  | "running"
  /** Its start was not answered; it may run, or begin to run later. */
  | "unsure"
  | "done";
