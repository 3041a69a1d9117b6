import type { AttemptOutcome } from "../decide/job/attempt_outcome.ts";
import type { SentTask } from "./sent_task.ts";

/** Statuses by which something in between may speak for an endpoint that it lost. */
const GATEWAY_STATUSES = [502, 504];
/** Longest part of an endpoint's message that is passed on, in characters. */
const MESSAGE_LENGTH = 200;

/** Judges what a sent task's reply, or the lack of one, proves. */
export function classifyReply(sent: SentTask): AttemptOutcome {
  if (sent.type === "broken") {
    const type = sent.begun ? "unknown" : "neverSent";
    return { type, message: sent.message };
  }
  const { status, text } = sent;
  const body = parseJson(text);
  if (body === undefined) {
    return { type: "unknown", message: `reply ${status} is not JSON` };
  }
  if (status === 200) return { type: "done", result: text };
  const message = readMessage(body) ?? `status ${status}`;
  if (readStatus(body) === "refused") return { type: "refused", message };
  if (status < 400 || GATEWAY_STATUSES.includes(status)) {
    return { type: "unknown", message };
  }
  return { type: "failed", message };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function readStatus(body: unknown): unknown {
  return (body as { status?: unknown } | null)?.status;
}

function readMessage(body: unknown): string | undefined {
  const message = (body as { message?: unknown } | null)?.message;
  return typeof message === "string"
    ? message.slice(0, MESSAGE_LENGTH)
    : undefined;
}
