import type { Pool } from "undici";
import { createReplyHandler } from "./create_reply_handler.ts";
import type { SentTask } from "./sent_task.ts";
import type { TaskSend } from "./task_send.ts";

/** Posts a task to an endpoint and collects the reply. */
export function sendTask(
  pool: Pool,
  path: string,
  options: { task: TaskSend; maxReplyBytes: number },
): Promise<SentTask> {
  const { task, maxReplyBytes } = options;
  return new Promise((done) => {
    pool.dispatch(
      { method: "POST", path, body: task.body, headers: createHeaders(task) },
      createReplyHandler(task, { maxReplyBytes, done }),
    );
  });
}

function createHeaders(task: TaskSend): Record<string, string> {
  return {
    "content-type": "application/json",
    "idempotency-key": encodeURIComponent(task.taskKey),
    "x-task-service": task.service,
    "x-task-attempt": String(task.attempt),
    "x-task-timeout-ms": String(Math.ceil(task.timeoutMs)),
  };
}
