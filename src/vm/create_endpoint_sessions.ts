import type { Effect } from "../scheduler/effect.ts";
import type { EndpointListing } from "../scheduler/endpoint_listing.ts";
import type { EndpointRecord } from "../scheduler/endpoint_record.ts";
import { applyListing } from "../scheduler/apply_listing.ts";
import { setEndpointUnresponsive } from "../scheduler/set_endpoint_unresponsive.ts";
import { applyStartReply } from "../scheduler/apply_start_reply.ts";
import { applyStopReply } from "../scheduler/apply_stop_reply.ts";
import { computeAcknowledgedEnd } from "../scheduler/compute_acknowledged_end.ts";
import { computeLeaseEnd } from "../scheduler/compute_lease_end.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EndpointClient } from "./endpoint_client.ts";
import type { EventLog } from "./event_log.ts";

/** How long an endpoint may hold back a listing until a run ends, in ms; a fraction of the lease. */
const LONG_POLL_MS = 250;
/** Long poll of an endpoint whose lease is not extended at present, in ms: short, because the reason not to extend the lease may end at any moment. */
const UNEXTENDED_LONG_POLL_MS = 30;
/** Time-out of a listing beyond the requested long poll, in ms. */
const ANSWER_TIMEOUT_MS = 250;
/** Pause before an unresponsive endpoint is polled again, in ms. */
const SILENT_RETRY_DELAY_MS = 150;
/** Pause before an endpoint that a later scheduler has taken over is polled again, in ms. */
const TAKEN_RETRY_DELAY_MS = 300;
/** First pause before an endpoint is polled again whose run ends are being stored, in ms: about the time of a write. Each further pause is longer by this much, as the store may be unavailable. */
const UNACKNOWLEDGED_DELAY_STEP_MS = 30;
/** Pause before an unconfirmed stop is sent again, in ms. */
const STOP_RETRY_DELAY_MS = 50;
/** Maximum number of stops sent for a foreign run; its lease has expired by then. */
const MAX_FOREIGN_STOPS = 40;

type Start = Extract<Effect, { type: "startTask" }>;
type Stop = Extract<Effect, { type: "stopRun" }>;
type Session = {
  client: EndpointClient;
  address: string;
  isOpen: boolean;
  /** Ends the pause in which run ends are being stored. */
  wake: () => void;
};

/** Creates the sessions of a scheduler's endpoints, one per endpoint: each polls listings, extends the lease, and sends starts and stops. */
export function createEndpointSessions(options: {
  state: SchedulerState;
  createClient: (row: EndpointRow) => EndpointClient;
  /** Runs a decision on the state and carries out its effects. */
  applyDecision: (decide: (nowMs: number) => void) => void;
  log: EventLog;
  /** Called when an endpoint refuses an order because it obeys a later scheduler. */
  onSuperseded: (endpointId: string) => void;
}): {
  /** Sends a start and applies the reply. */
  start(start: Start): void;
  /** Sends a stop until the endpoint confirms it; for a foreign run at most `MAX_FOREIGN_STOPS` times. */
  stop(stop: Stop): void;
  /** To be called when run ends have been stored: endpoints with no unacknowledged run ends left are polled again at once. */
  notifyEndsStored(): void;
  /** Opens and closes sessions to match the endpoints in the state. */
  refresh(): void;
  close(): void;
} {
  const { state, applyDecision } = options;
  const sessions = new Map<string, Session>();

  async function pollEndpoint(id: string, session: Session): Promise<void> {
    let failures = 0;
    let unacknowledgedDelayMs = 0;
    let skipsLongPoll = false;
    while (session.isOpen) {
      const endpoint = state.endpoints.get(id);
      if (!endpoint) return;
      const nowMs = readMonotonicMs();
      const leaseEndMs = computeLeaseEnd(state, endpoint, nowMs);
      const isUsable = endpoint.phase === "usable";
      if (leaseEndMs !== undefined) {
        endpoint.leaseEndMs = Math.max(endpoint.leaseEndMs, leaseEndMs);
      }
      const canLongPoll = isUsable && failures === 0 && !skipsLongPoll;
      const maxPollMs = leaseEndMs === undefined
        ? UNEXTENDED_LONG_POLL_MS
        : LONG_POLL_MS;
      const pollMs: number = canLongPoll ? maxPollMs : 0;
      skipsLongPoll = false;
      // After a broken connection a new endpoint process may answer, which numbers its run ends from the start again.
      // No run end is acknowledged in that case.
      const acknowledgedEnd = failures > 0
        ? 0
        : computeAcknowledgedEnd(state, endpoint, nowMs);
      try {
        const listing = await session.client.list({
          token: endpoint.token,
          lastEnd: acknowledgedEnd,
          leaseEndMs,
          waitMs: pollMs,
          timeoutMs: pollMs + ANSWER_TIMEOUT_MS,
        });
        if (!session.isOpen) return;
        if (listing === "superseded") {
          options.onSuperseded(id);
          await waitMs(TAKEN_RETRY_DELAY_MS);
          continue;
        }
        if (listing === "otherInstance") throw new Error("another instance");
        failures = 0;
        // A listing that was held back may show a run of a later scheduler that the endpoint has obeyed since the request.
        // A second poll, which the endpoint answers without waiting, shows whether it still accepts this fencing token.
        skipsLongPoll = pollMs > 0 && hasNewForeignRun(endpoint, listing);
        if (skipsLongPoll) continue;
        applyDecision(() => applyListing(state, id, listing));
        // The endpoint answers a long poll at once while it has unacknowledged run ends.
        const hasUnacknowledgedEnds = endpoint.unacknowledgedEnds.size > 0;
        unacknowledgedDelayMs = hasUnacknowledgedEnds
          ? Math.min(
            unacknowledgedDelayMs + UNACKNOWLEDGED_DELAY_STEP_MS,
            LONG_POLL_MS,
          )
          : 0;
        if (hasUnacknowledgedEnds) {
          await waitForStoredEnds(session, unacknowledgedDelayMs);
        }
      } catch {
        failures += 1;
        if (failures > 1) {
          applyDecision((at) => setEndpointUnresponsive(state, id, at));
        }
        if (failures > 1) await waitMs(SILENT_RETRY_DELAY_MS);
      }
    }
  }

  async function waitForStoredEnds(
    session: Session,
    maxMs: number,
  ): Promise<void> {
    const wakeCalled = new Promise<void>((resolve) => {
      session.wake = resolve;
    });
    await Promise.race([wakeCalled, waitMs(maxMs)]);
  }

  function findToken(endpointId: string): number {
    return state.endpoints.get(endpointId)?.token ?? state.token;
  }

  async function start(effect: Start): Promise<void> {
    const session = sessions.get(effect.endpointId);
    const { task, run, leaseEndMs, endpointId } = effect;
    const reply = session
      ? await session.client.start({
        task: task.name,
        run,
        spec: task.job.order.spec,
        leaseEndMs,
        token: findToken(endpointId),
      })
      : { type: "rejected", reason: "neverSent" } as const;
    if (reply.type === "rejected" && reply.reason === "superseded") {
      options.onSuperseded(endpointId);
    }
    applyDecision((nowMs) =>
      applyStartReply(state, { endpointId, task, run }, { reply, nowMs })
    );
  }

  async function stop(effect: Stop): Promise<void> {
    const { endpointId, task, run } = effect;
    const isCurrent = () =>
      state.endpoints.get(endpointId)?.runs.get(task)?.run === run;
    for (let sent = 0; sent < MAX_FOREIGN_STOPS || isCurrent(); sent += 1) {
      const session = sessions.get(endpointId);
      if (!session?.isOpen) return;
      if (
        await session.client.stop({ task, run, token: findToken(endpointId) })
      ) {
        applyDecision((nowMs) =>
          applyStopReply(state, { endpointId, task, run }, nowMs)
        );
        return;
      }
      await waitMs(STOP_RETRY_DELAY_MS);
    }
  }

  function open(row: EndpointRow): void {
    const session = {
      client: options.createClient(row),
      address: row.address,
      isOpen: true,
      wake: () => {},
    };
    sessions.set(row.id, session);
    pollEndpoint(row.id, session);
  }

  function closeSession(id: string, session: Session): void {
    session.isOpen = false;
    session.client.close();
    sessions.delete(id);
  }

  return {
    start,
    stop,
    notifyEndsStored: () => {
      for (const [id, session] of sessions) {
        if (state.endpoints.get(id)?.unacknowledgedEnds.size === 0) {
          session.wake();
        }
      }
    },
    refresh: () => {
      for (const [id, session] of sessions) {
        if (!state.endpoints.has(id)) closeSession(id, session);
      }
      for (const { row } of state.endpoints.values()) {
        const session = sessions.get(row.id);
        if (session?.address === row.address) continue;
        if (session) closeSession(row.id, session);
        open(row);
      }
    },
    close: () => {
      for (const [id, session] of sessions) closeSession(id, session);
    },
  };
}

/** Whether a listing shows a run that the scheduler does not know yet, neither of its jobs nor as a foreign run. */
function hasNewForeignRun(
  { runs, foreignRuns }: EndpointRecord,
  { running }: EndpointListing,
): boolean {
  return running.some(({ task, run }) =>
    runs.get(task)?.run !== run && foreignRuns.get(task)?.run !== run
  );
}
