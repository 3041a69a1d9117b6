import { classifyRepeatedStart } from "../decide/classify_repeated_start.ts";
import { canStartIn } from "../evacuation/can_start_in.ts";
import { applyStartReply } from "../scheduler/apply_start_reply.ts";
import type { Effect } from "../scheduler/effect.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import type { StartReply } from "../scheduler/start_reply.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { EndpointSessionOptions } from "./endpoint_session_options.ts";

/** Maximum number of times that a start is sent. */
const MAX_SENDS = 3;

type Start = Extract<Effect, { type: "startTask" }>;

/** Sends a start, again if it is not answered, and applies the reply. */
export async function sendStart(
  options: EndpointSessionOptions,
  session: EndpointSession | undefined,
  start: Start,
): Promise<void> {
  const { state, applyDecision } = options;
  const { task, run, endpointId } = start;
  const reply = session
    ? await requestStart(state, session, start)
    : { type: "rejected", reason: "neverSent" } as const;
  if (reply.type === "rejected" && reply.reason === "superseded") {
    options.onSuperseded(endpointId);
  }
  applyDecision((nowMs) =>
    applyStartReply(state, { endpointId, task, run }, { reply, nowMs })
  );
}

async function requestStart(
  state: SchedulerState,
  session: EndpointSession,
  start: Start,
): Promise<StartReply & { clockMs?: number }> {
  const { client, answers } = session;
  const { task, run, leaseEndMs, endpointId } = start;
  const maySend = () => isOpen(state, endpointId);
  for (let earlierSends = 0; earlierSends < MAX_SENDS; earlierSends += 1) {
    const timeoutMs = answers.computeTimeoutMs(earlierSends);
    const sentMs = readMonotonicMs();
    const reply = await client.start({
      task: task.name,
      run,
      spec: task.job.order.spec,
      leaseEndMs,
      token: state.endpoints.get(endpointId)?.token ?? state.token,
      timeoutMs,
      maySend,
    });
    const nowMs = readMonotonicMs();
    const tookMs = nowMs - sentMs;
    if (reply.type === "unanswered") {
      answers.recordLoss({ tookMs, timeoutMs, nowMs });
      if (!isStillWanted(state, start) || !session.isOpen) return reply;
      if (!maySend()) return reply;
      continue;
    }
    if (earlierSends > 0) return classifyRepeatedStart(reply);
    answers.recordAnswer(tookMs);
    return reply;
  }
  return { type: "unanswered" };
}

/** Whether the endpoint's data centre is not evacuated. A start may wait for a connection until after it is. */
function isOpen(state: SchedulerState, endpointId: string): boolean {
  const endpoint = state.endpoints.get(endpointId);
  return !endpoint || canStartIn(state, endpoint.row.dataCentre);
}

/** Whether the run is still to be started: its job is open and no listing has shown the run. */
function isStillWanted(
  state: SchedulerState,
  { endpointId, task, run }: Start,
): boolean {
  return state.endpoints.get(endpointId)?.runs.get(task.name) === task &&
    task.run === run && task.phase === "starting" && !task.job.outcome;
}
