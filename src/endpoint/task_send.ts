/** One attempt of a task, as it is sent to an endpoint. */
export type TaskSend = {
  /** Identifies the task; the endpoint receives it as the idempotency key. */
  taskKey: string;
  /** Number of the attempt. */
  attempt: number;
  service: string;
  /** Body of the request, as JSON text. */
  body: string;
  /** Time after which the attempt ends without a reply, in ms. */
  timeoutMs: number;
  /** Whether the task may still start; called right before the first byte is sent. */
  mayStart: () => boolean;
};
