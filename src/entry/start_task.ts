import type { EntryCommand } from "../decide/entry/entry_command.ts";
import { applyAttemptOutcome } from "../decide/entry/apply_attempt_outcome.ts";
import type { AttemptOutcome } from "../decide/job/attempt_outcome.ts";
import { isLeaseValid } from "../decide/own/is_lease_valid.ts";
import { readClock } from "../utils/read_clock.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";
import { findSender } from "./find_sender.ts";

/** A reply is waited for a little past the job's deadline, so that its slot stays counted, in ms. */
const PAST_DEADLINE_MS = 1_000;

/** Sends a task to its endpoint and feeds the outcome back into the decisions. */
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
  decide(context, (state, clock) => {
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
    timeoutMs: start.deadlineAtMs - nowMs + PAST_DEADLINE_MS,
    mayStart: () =>
      state.attempts.has(start.attemptId) && isStillWanted(context, start) &&
      isLeaseValid(state.lease, readClock()),
  });
}

/** A job that failed before the first byte left is not sent at all. */
function isStillWanted(
  context: EntryContext,
  start: EntryCommand & { type: "startTask" },
): boolean {
  const attempt = context.state.attempts.get(start.attemptId);
  return attempt?.job.tasks[attempt.index].phase === "running";
}
