import type { Dispatcher } from "undici";
import type { SentTask } from "./sent_task.ts";
import type { TaskSend } from "./task_send.ts";

/** Creates the handler that follows one request from its first byte to its reply. */
export function createReplyHandler(
  task: Pick<TaskSend, "timeoutMs" | "mayStart">,
  options: { maxReplyBytes: number; done: (sent: SentTask) => void },
): Dispatcher.DispatchHandler {
  let begun = false;
  let finished = false;
  let status = 0;
  let size = 0;
  let current: Dispatcher.DispatchController | undefined;
  const chunks: Buffer[] = [];
  // A reply that arrived while this process was busy is read before the time counts as up.
  const timer = setTimeout(() => setImmediate(expire), task.timeoutMs);

  function expire(): void {
    finish({
      type: "broken",
      begun,
      message: `no reply within ${Math.round(task.timeoutMs)} ms`,
    });
    current?.abort(new Error("The task's time ran out"));
  }

  function finish(sent: SentTask): void {
    if (finished) return;
    finished = true;
    clearTimeout(timer);
    options.done(sent);
  }

  return {
    onRequestStart: (controller) => {
      current = controller;
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
      size += chunk.length;
      if (size <= options.maxReplyBytes) chunks.push(chunk);
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
