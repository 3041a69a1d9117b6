import type { Dispatcher } from "undici";
import type { SentTask } from "./sent_task.ts";
import type { TaskSend } from "./task_send.ts";

/**
 * Creates the undici handler of one request. It calls `done` once: with the whole
 * reply, or when the request failed, was not allowed to start or had no reply
 * within `timeoutMs`.
 */
export function createReplyHandler(
  task: Pick<TaskSend, "timeoutMs" | "mayStart">,
  options: { maxReplyBytes: number; done: (sent: SentTask) => void },
): Dispatcher.DispatchHandler {
  let begun = false;
  let finished = false;
  let status = 0;
  let receivedBytes = 0;
  let activeController: Dispatcher.DispatchController | undefined;
  const chunks: Buffer[] = [];
  // setImmediate lets a reply that arrived while this process was busy be read before the request expires.
  const timer = setTimeout(() => setImmediate(expire), task.timeoutMs);

  function expire(): void {
    finish({
      type: "broken",
      begun,
      message: `no reply within ${Math.round(task.timeoutMs)} ms`,
    });
    activeController?.abort(new Error("The task's time ran out"));
  }

  function finish(sent: SentTask): void {
    if (finished) return;
    finished = true;
    clearTimeout(timer);
    options.done(sent);
  }

  return {
    onRequestStart: (controller) => {
      activeController = controller;
      if (finished || !task.mayStart()) {
        controller.abort(new Error("the entry may not start tasks any more"));
        return;
      }
      begun = true;
    },
    onResponseStart: (_controller, statusCode) => {
      status = statusCode;
    },
    onResponseData: (controller, chunk) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= options.maxReplyBytes) chunks.push(chunk);
      else {
        const message = `the reply is over ${options.maxReplyBytes} bytes`;
        controller.abort(new Error(message));
      }
    },
    onResponseEnd: () => {
      const text = Buffer.concat(chunks).toString("utf8");
      finish({ type: "replied", status, text });
    },
    onResponseError: (_controller, error) => {
      finish({ type: "broken", begun, message: error.message });
    },
  };
}
