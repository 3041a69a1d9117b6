/** How one attempt at an endpoint ended. */
export type AttemptOutcome =
  /** The endpoint ran the task and answered with JSON text. */
  | { type: "done"; result: string }
  /** The endpoint ran the task and says it failed. */
  | { type: "failed"; message: string }
  /** The endpoint says it did not start the task. */
  | { type: "refused"; message: string }
  /** No byte of the task left this process. */
  | { type: "neverSent"; message: string }
  /** The task was sent and nothing proves how it ended. */
  | { type: "unknown"; message: string };
