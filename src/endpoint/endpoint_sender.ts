import type { AttemptOutcome } from "../decide/job/attempt_outcome.ts";
import type { TaskSend } from "./task_send.ts";

/** Sends tasks to one endpoint over its own few connections. */
export type EndpointSender = {
  /** Sends a task; resolves with how the attempt ended, never rejects. */
  send(task: TaskSend): Promise<AttemptOutcome>;
  /** Asks the endpoint to stop a running task; its reply ends the attempt. */
  cancel(taskKey: string): void;
  /** Closes the connections once what is in flight has ended. */
  close(): Promise<void>;
};
