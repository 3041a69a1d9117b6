import type { AttemptOutcome } from "../decide/job/attempt_outcome.ts";
import type { SentTask } from "./sent_task.ts";

/** Statuses that a gateway in front of an endpoint may send when it has lost the endpoint; they do not prove that the task ended. */
const GATEWAY_STATUSES = [502, 504];
/** Length, in characters, to which the message of an endpoint is cut. */
const MAX_MESSAGE_LENGTH = 200;

/**
 * Classifies what the reply to a task, or its absence, proves about the attempt:
 * 200 with JSON is a result, a body with status `refused` proves that the task
 * did not start, and other statuses from 400 on prove that it ended and failed.
 * Anything else leaves the outcome unknown once the request may have been sent.
 */
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
    ? message.slice(0, MAX_MESSAGE_LENGTH)
    : undefined;
}
