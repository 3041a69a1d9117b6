import type { EntryCommand } from "../decide/entry/entry_command.ts";
import { applyAttemptOutcome } from "../decide/entry/apply_attempt_outcome.ts";
import type { AttemptOutcome } from "../decide/job/attempt_outcome.ts";
import { isLeaseValid } from "../decide/own/is_lease_valid.ts";
import { readClock } from "../utils/read_clock.ts";
import { updateState } from "./update_state.ts";
import type { EntryContext } from "./entry_context.ts";
import { findSender } from "./find_sender.ts";

/**
 * Time after the job's deadline for which a reply is still awaited, so that a
 * task that is still running keeps counting as a used slot, in ms.
 */
const REPLY_GRACE_MS = 1_000;

/** Sends a task to its endpoint and applies the outcome to the entry's state. */
export async function startTask(
  context: EntryContext,
  start: EntryCommand & { type: "startTask" },
): Promise<void> {
  const outcome = await sendToEndpoint(context, start);
  context.metrics.increment(`task.${outcome.type}`);
  if (outcome.type !== "done") {
    context.logger.info("attemptEnded", {
      task: start.taskKey,
      endpoint: start.endpointId,
      kind: outcome.type,
      message: outcome.message,
    });
  }
  updateState(context, (state, clock) => {
    applyAttemptOutcome(state, start.attemptId, { outcome, clock });
  });
}

async function sendToEndpoint(
  context: EntryContext,
  start: EntryCommand & { type: "startTask" },
): Promise<AttemptOutcome> {
  const sender = findSender(context, start.endpointId);
  if (!sender) {
    return { type: "neverSent", message: "the endpoint is not configured" };
  }
  context.metrics.increment("task.sent");
  const { state } = context;
  const nowMs = readClock().monotonicMs;
  return await sender.send({
    taskKey: start.taskKey,
    attempt: start.attempt,
    service: start.request.service,
    body: start.request.body,
    timeoutMs: start.deadlineAtMs - nowMs + REPLY_GRACE_MS,
    mayStart: () =>
      state.attempts.has(start.attemptId) && isTaskRunning(context, start) &&
      isLeaseValid(state.lease, readClock()),
  });
}

/**
 * Whether the task is still running, so that a task whose job ended before the
 * request was sent is not sent.
 */
function isTaskRunning(
  context: EntryContext,
  start: EntryCommand & { type: "startTask" },
): boolean {
  const attempt = context.state.attempts.get(start.attemptId);
  return attempt?.job.tasks[attempt.index].phase === "running";
}
