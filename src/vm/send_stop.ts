import { applyStopReply } from "../scheduler/apply_stop_reply.ts";
import type { Effect } from "../scheduler/effect.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { EndpointSessionOptions } from "./endpoint_session_options.ts";

/** Minimum time between two sends of an unconfirmed stop, in ms. */
const MIN_SEND_INTERVAL_MS = 50;
/** Maximum number of stops sent for a foreign run; its lease has expired by then. */
const MAX_FOREIGN_STOPS = 40;

/** Sends a stop until the endpoint confirms it; for a foreign run at most `MAX_FOREIGN_STOPS` times. */
export async function sendStop(
  { state, applyDecision }: EndpointSessionOptions,
  findSession: () => EndpointSession | undefined,
  { endpointId, task, run }: Extract<Effect, { type: "stopRun" }>,
): Promise<void> {
  const isCurrent = () =>
    state.endpoints.get(endpointId)?.runs.get(task)?.run === run;
  for (let sent = 0; sent < MAX_FOREIGN_STOPS || isCurrent(); sent += 1) {
    const session = findSession();
    if (!session?.isOpen) return;
    const { client, answers } = session;
    const timeoutMs = answers.computeTimeoutMs(sent);
    const sentMs = readMonotonicMs();
    const token = state.endpoints.get(endpointId)?.token ?? state.token;
    if (await client.stop({ task, run, token, timeoutMs })) {
      applyDecision((nowMs) =>
        applyStopReply(state, { endpointId, task, run }, nowMs)
      );
      return;
    }
    const nowMs = readMonotonicMs();
    const tookMs = nowMs - sentMs;
    if (tookMs >= timeoutMs) answers.recordLoss({ tookMs, timeoutMs, nowMs });
    if (tookMs < MIN_SEND_INTERVAL_MS) {
      await waitMs(MIN_SEND_INTERVAL_MS - tookMs);
    }
  }
}
