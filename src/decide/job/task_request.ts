/** A task as submitted by a caller. */
export type TaskRequest = {
  service: string;
  /** Request body for the endpoint, as JSON text. */
  body: string;
  /** Whether the task must not be sent again unless it certainly never started. */
  unrepeatable: boolean;
  /** Run time that the caller expects, in ms; only a hint. */
  declaredMs?: number;
};
