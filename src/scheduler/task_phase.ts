/** Phase of a task at the scheduler. */
export type TaskPhase =
  /** Waits until the steps before its own are done. */
  | "blocked"
  /** Waits for free capacity. */
  | "waiting"
  /** Its start was sent and has not been answered yet. */
  | "starting"
  | "running"
  /** Its start timed out; the run may be active or may still start later. */
  | "unsure"
  | "done";
