/** What came of sending a task, before it is judged. */
export type SentTask =
  /** A whole reply came back. */
  | { type: "replied"; status: number; text: string }
  /** No whole reply came back. */
  | { type: "broken"; begun: boolean; message: string };
