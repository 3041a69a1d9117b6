/** An event that changes the phase of a task at the scheduler; charts/scheduled_task.json says which phase allows which. */
export type TaskEvent =
  /** The steps before its own are done. */
  | "release"
  | "start"
  /** The endpoint has accepted the start or lists the run. */
  | "confirm"
  /** The start was not answered. */
  | "doubt"
  /** A run that another scheduler started is taken over. */
  | "adopt"
  /** The run has ended without success or never began. */
  | "retry"
  | "finish"
  /** The job is reopened. */
  | "block";
