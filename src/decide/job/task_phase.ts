/** The states of charts/task.json. */
export type TaskPhase =
  | "held"
  | "waiting"
  | "running"
  | "done"
  | "failed"
  | "cancelled";
