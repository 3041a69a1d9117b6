/** Result of sending a task, before it is classified as an outcome of the attempt. */
export type SentTask =
  /** The whole reply was received. */
  | { type: "replied"; status: number; text: string }
  /** No whole reply was received. `begun`: a part of the request may have been sent. */
  | { type: "broken"; begun: boolean; message: string };
