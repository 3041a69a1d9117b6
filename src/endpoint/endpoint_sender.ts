import type { AttemptOutcome } from "../decide/job/attempt_outcome.ts";
import type { TaskSend } from "./task_send.ts";

/** Sends tasks to one endpoint over a pool of connections to it. */
export type EndpointSender = {
  /** Sends a task and resolves with the outcome of the attempt; never rejects. */
  send(task: TaskSend): Promise<AttemptOutcome>;
  /** Asks the endpoint to stop a running task. The attempt still ends with the reply to `send`. */
  cancel(taskKey: string): void;
  /** Resolves when the requests in flight have ended and the connections are closed. */
  close(): Promise<void>;
};
