/** States of a task, as in charts/task.json. */
export type TaskPhase =
  | "held"
  | "waiting"
  | "running"
  | "done"
  | "failed"
  | "cancelled";
