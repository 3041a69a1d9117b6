/** A client's connection, as the limits see it. */
export type ClientConnection = {
  /** When it last made progress with a request or an answer, on the monotonic clock, in ms. */
  progressMs: number;
  /** Whether a whole request has been handed on and its answer is not there yet. */
  isServed: boolean;
  close(): void;
};
