import type { Dispatcher } from "undici";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { SentTask } from "./sent_task.ts";
import type { TaskSend } from "./task_send.ts";

/** Longest time from the first to the last byte of a reply, in ms; ends one that only trickles. */
const MAX_TRANSFER_MS = 20_000;

/**
 * Creates the undici handler of one request. It calls `done` once: with the whole
 * reply, or when the request failed, was not allowed to start or had no reply
 * within `timeoutMs`. With `stallTimeoutMs`, a reply that has begun within
 * `timeoutMs` is given up only once no further byte has arrived for that long.
 */
export function createReplyHandler(
  task: Pick<TaskSend, "timeoutMs" | "mayStart">,
  options: {
    maxReplyBytes: number;
    done: (sent: SentTask) => void;
    /** In ms. Default: the whole reply has to arrive within `timeoutMs`. */
    stallTimeoutMs?: number;
    /** Called when the first byte of the reply's body has arrived. */
    onReplyBegun?: () => void;
  },
): Dispatcher.DispatchHandler {
  let begun = false;
  let finished = false;
  let status = 0;
  let receivedBytes = 0;
  let activeController: Dispatcher.DispatchController | undefined;
  const chunks: Buffer[] = [];
  let lastByteByMs: number | undefined;
  let timer = startTimer(task.timeoutMs);

  function startTimer(afterMs: number): NodeJS.Timeout {
    // setImmediate lets a reply that arrived while this process was busy be read before the request expires.
    return setTimeout(() => setImmediate(expire), afterMs);
  }

  /** Renews the timer of a request whose reply goes on arriving. */
  function renewTimer(stallTimeoutMs: number): void {
    const nowMs = readMonotonicMs();
    lastByteByMs ??= nowMs + MAX_TRANSFER_MS;
    clearTimeout(timer);
    timer = startTimer(Math.min(stallTimeoutMs, lastByteByMs - nowMs));
  }

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
      if (finished) return;
      if (receivedBytes === 0) options.onReplyBegun?.();
      if (options.stallTimeoutMs !== undefined) {
        renewTimer(options.stallTimeoutMs);
      }
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
