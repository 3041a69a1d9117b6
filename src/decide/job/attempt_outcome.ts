/** Outcome of one attempt to run a task at an endpoint. */
export type AttemptOutcome =
  /** The endpoint ran the task; `result` is its reply as JSON text. */
  | { type: "done"; result: string }
  /** The endpoint ran the task and reported that it failed. */
  | { type: "failed"; message: string }
  /** The endpoint reported that it did not start the task. */
  | { type: "refused"; message: string }
  /** No byte of the request left this process. */
  | { type: "neverSent"; message: string }
  /** The task was sent, and there is no proof of its outcome. */
  | { type: "unknown"; message: string };
