import type { Pool } from "undici";
import { createReplyHandler } from "./create_reply_handler.ts";
import type { SentTask } from "./sent_task.ts";
import type { TaskSend } from "./task_send.ts";

/** Posts a task to the endpoint of a pool and resolves with the reply, or with the reason why there is none; never rejects. */
export function sendTask(
  pool: Pool,
  path: string,
  options: { task: TaskSend; maxReplyBytes: number },
): Promise<SentTask> {
  const { task, maxReplyBytes } = options;
  return new Promise((resolve) => {
    pool.dispatch(
      { method: "POST", path, body: task.body, headers: createHeaders(task) },
      createReplyHandler(task, { maxReplyBytes, done: resolve }),
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
