import type { Effect } from "../scheduler/effect.ts";
import type { EndpointListing } from "../scheduler/endpoint_listing.ts";
import type { EndpointRecord } from "../scheduler/endpoint_record.ts";
import { applyListing } from "../scheduler/apply_listing.ts";
import { setEndpointSilent } from "../scheduler/set_endpoint_silent.ts";
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

/** How long an endpoint holds a listing back for the next end, in ms; a fraction of the lease. */
const LIST_WAIT_MS = 250;
/** The same while its lease is not extended, in ms: what stands in the way may be over at any moment. */
const UNEXTENDED_WAIT_MS = 30;
/** Time an endpoint has for an answer beyond what it was asked to wait, in ms. */
const ANSWER_MS = 250;
/** Pause before a silent endpoint is asked again, in ms. */
const PROBE_MS = 150;
/** The same for an endpoint that obeys a later scheduler, in ms. */
const TAKEN_PROBE_MS = 300;
/** Longest pause before an endpoint is asked again whose ends are being stored, in ms: about the time of a write. It grows by as much each time, as the store may be away. */
const UNSETTLED_MS = 30;
/** Pause before a stop that was not confirmed is sent again, in ms. */
const STOP_AGAIN_MS = 50;
/** A stop of a run that is nobody's is sent at most this often: its lease has ended by then. */
const MOST_STOPS = 40;

type Start = Extract<Effect, { type: "startTask" }>;
type Stop = Extract<Effect, { type: "stopRun" }>;
type Session = {
  client: EndpointClient;
  address: string;
  isOpen: boolean;
  /** Ends the pause while ends are being stored. */
  wake: () => void;
};

/** Keeps one session an endpoint: its listings, leases, starts and stops. */
export function createEndpointSessions(options: {
  state: SchedulerState;
  createClient: (row: EndpointRow) => EndpointClient;
  /** Runs a decision and carries out what follows from it. */
  act: (decide: (nowMs: number) => void) => void;
  log: EventLog;
  /** Called when an endpoint obeys a later scheduler. */
  superseded: (endpointId: string) => void;
}): {
  start(start: Start): void;
  stop(stop: Stop): void;
  /** Some ends have been stored: endpoints that have none left to be stored are asked again at once. */
  settled(): void;
  /** Opens and closes sessions as the scheduler's endpoints are. */
  refresh(): void;
  close(): void;
} {
  const { state, act } = options;
  const sessions = new Map<string, Session>();

  async function follow(id: string, session: Session): Promise<void> {
    let failures = 0;
    let unsettledMs = 0;
    let isAskedAtOnce = false;
    while (session.isOpen) {
      const endpoint = state.endpoints.get(id);
      if (!endpoint) return;
      const nowMs = readMonotonicMs();
      const leaseEndMs = computeLeaseEnd(state, endpoint, nowMs);
      const isKnown = endpoint.phase === "usable";
      if (leaseEndMs !== undefined) {
        endpoint.leaseEndMs = Math.max(endpoint.leaseEndMs, leaseEndMs);
      }
      const canWait = isKnown && failures === 0 && !isAskedAtOnce;
      const mostMs = leaseEndMs === undefined
        ? UNEXTENDED_WAIT_MS
        : LIST_WAIT_MS;
      const wait: number = canWait ? mostMs : 0;
      isAskedAtOnce = false;
      // Behind a connection that broke there may be a new process, which counts its ends anew.
      const lastEnd = failures > 0
        ? 0
        : computeAcknowledgedEnd(state, endpoint, nowMs);
      try {
        const listing = await session.client.list({
          token: endpoint.token,
          lastEnd,
          leaseEndMs,
          waitMs: wait,
          timeoutMs: wait + ANSWER_MS,
        });
        if (!session.isOpen) return;
        if (listing === "superseded") {
          options.superseded(id);
          await waitMs(TAKEN_PROBE_MS);
          continue;
        }
        if (listing === "otherInstance") throw new Error("another instance");
        failures = 0;
        // By the time it answered it may have obeyed another, whose run this is.
        isAskedAtOnce = wait > 0 && hasNewStranger(endpoint, listing);
        if (isAskedAtOnce) continue;
        act(() => applyListing(state, id, listing));
        // It answers at once while it has ends that it may not forget yet.
        const isUnsettled = endpoint.unacknowledgedEnds.size > 0;
        unsettledMs = isUnsettled
          ? Math.min(unsettledMs + UNSETTLED_MS, LIST_WAIT_MS)
          : 0;
        if (isUnsettled) await waitForSettled(session, unsettledMs);
      } catch {
        failures += 1;
        if (failures > 1) act((at) => setEndpointSilent(state, id, at));
        if (failures > 1) await waitMs(PROBE_MS);
      }
    }
  }

  async function waitForSettled(
    session: Session,
    mostMs: number,
  ): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      session.wake = resolve;
    });
    await Promise.race([woken, waitMs(mostMs)]);
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
      options.superseded(endpointId);
    }
    act((nowMs) =>
      applyStartReply(state, { endpointId, task, run }, { reply, nowMs })
    );
  }

  async function stop(effect: Stop): Promise<void> {
    const { endpointId, task, run } = effect;
    const isCurrent = () =>
      state.endpoints.get(endpointId)?.runs.get(task)?.run === run;
    for (let sent = 0; sent < MOST_STOPS || isCurrent(); sent += 1) {
      const session = sessions.get(endpointId);
      if (!session?.isOpen) return;
      if (
        await session.client.stop({ task, run, token: findToken(endpointId) })
      ) {
        act((nowMs) => applyStopReply(state, { endpointId, task, run }, nowMs));
        return;
      }
      await waitMs(STOP_AGAIN_MS);
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
    follow(row.id, session);
  }

  function closeSession(id: string, session: Session): void {
    session.isOpen = false;
    session.client.close();
    sessions.delete(id);
  }

  return {
    start,
    stop,
    settled: () => {
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

/** Whether a listing shows a run that was not known of. */
function hasNewStranger(
  { runs, foreignRuns }: EndpointRecord,
  { running }: EndpointListing,
): boolean {
  return running.some(({ task, run }) =>
    runs.get(task)?.run !== run && foreignRuns.get(task)?.run !== run
  );
}
