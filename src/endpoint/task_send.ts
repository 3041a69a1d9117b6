/** One attempt of a task, ready to be sent. */
export type TaskSend = {
  taskKey: string;
  attempt: number;
  service: string;
  /** JSON text. */
  body: string;
  /** Longest wait for the reply, in ms. */
  timeoutMs: number;
  /** Asked right before the first byte leaves: whether the task may still start. */
  mayStart: () => boolean;
};
