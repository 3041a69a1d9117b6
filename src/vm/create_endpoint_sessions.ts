import type { Effect } from "../scheduler/effect.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import { createAnswerMonitor } from "./create_answer_monitor.ts";
import type { EndpointClient } from "./endpoint_client.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { EndpointSessionOptions } from "./endpoint_session_options.ts";
import { pollEndpoint } from "./poll_endpoint.ts";
import { sendStart } from "./send_start.ts";
import { sendStop } from "./send_stop.ts";

/** Creates the sessions of a scheduler's endpoints, one per endpoint: each polls listings, extends the lease, and sends starts and stops. */
export function createEndpointSessions(
  options: EndpointSessionOptions & {
    createClient: (row: EndpointRow) => EndpointClient;
  },
): {
  /** Sends a start and applies the reply. */
  start(start: Extract<Effect, { type: "startTask" }>): void;
  /** Sends a stop until the endpoint confirms it. */
  stop(stop: Extract<Effect, { type: "stopRun" }>): void;
  /** To be called when run ends have been stored: endpoints with no unacknowledged run ends left are polled again at once. */
  notifyEndsStored(): void;
  /** Opens and closes sessions to match the endpoints in the state. */
  refresh(): void;
  close(): void;
} {
  const { state } = options;
  const sessions = new Map<string, EndpointSession>();

  function open(row: EndpointRow): void {
    const session = {
      client: options.createClient(row),
      address: row.address,
      isOpen: true,
      answers: createAnswerMonitor(),
      wake: () => {},
    };
    sessions.set(row.id, session);
    void pollEndpoint(options, row.id, session);
  }

  function closeSession(id: string, session: EndpointSession): void {
    session.isOpen = false;
    session.client.close();
    sessions.delete(id);
  }

  return {
    start: (effect) =>
      void sendStart(options, sessions.get(effect.endpointId), effect),
    stop: (effect) =>
      void sendStop(options, () => sessions.get(effect.endpointId), effect),
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
