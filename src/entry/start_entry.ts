import { createEndpointSender } from "../endpoint/create_endpoint_sender.ts";
import { createRoleGuard } from "../http/create_role_guard.ts";
import { startHttpServer } from "../http/start_http_server.ts";
import { createLogger } from "../log/create_logger.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import type { AnswerMessage } from "../peer/answer_message.ts";
import { callPeer } from "../peer/call_peer.ts";
import { createPeerPool } from "../peer/create_peer_pool.ts";
import { loadPeerServices } from "../peer/load_peer_services.ts";
import { probeAddress } from "../peer/probe_address.ts";
import { startPeerServer } from "../peer/start_peer_server.ts";
import { createHttpPlatform } from "../store/create_http_platform.ts";
import type { EntrySettings } from "../settings/entry_settings.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { createCallerApp } from "./create_caller_app.ts";
import { createEntryContext } from "./create_entry_context.ts";
import { createPeerHandlers } from "./create_peer_handlers.ts";
import { formatRefusal } from "./format_refusal.ts";
import type { EntryContext } from "./entry_context.ts";
import type { EntryHandle } from "./entry_handle.ts";
import { watchView } from "./watch_view.ts";
import { startLoops } from "./start_loops.ts";
import { stopEntry } from "./stop_entry.ts";

/** Interval between two checks whether the first configuration version has arrived, in ms. */
const VERSION_POLL_INTERVAL_MS = 20;

/** Starts an entry. `requestStop` is called when an operator requests a drain over HTTP. */
export async function startEntry(
  settings: EntrySettings,
  requestStop: () => void = () => {},
): Promise<EntryHandle> {
  const services = loadPeerServices();
  const peers = createPeerPool(services.entry);
  const context = createContext(settings, { peers, requestStop });
  const peerServer = await startPeerServer(
    settings.peerAddress,
    services.entry.service,
    createPeerHandlers(context),
  );
  context.name = replacePort(settings.peerAddress, peerServer.port);
  context.logger = createLogger("entry", {
    name: context.name,
    level: settings.logLevel,
  });
  const callerServer = await startHttpServer(
    {
      app: createCallerApp(context),
      readMaxBodyBytes: () => settings.maxRequestBytes,
      formatRefusal,
    },
    { address: settings.callerAddress, key: "callerAddress" },
    createRoleGuard(settings, context),
  );
  const stopWatching = watchView(context, services.control);
  waitForVersion(context).then(() => startLoops(context));
  context.logger.info("entryStarted", { address: context.name });
  return {
    name: context.name,
    url: `http://${replacePort(settings.callerAddress, callerServer.port)}`,
    stop: () =>
      stopEntry(context, {
        callerServer,
        peerServer,
        peers,
        stopWatching,
      }),
  };
}

function createContext(
  settings: EntrySettings,
  options: {
    peers: ReturnType<typeof createPeerPool>;
    requestStop: () => void;
  },
): EntryContext {
  const { platformUrl, platformTimeoutMs, maxReplyBytes } = settings;
  return createEntryContext(settings, {
    platform: createHttpPlatform(platformUrl, platformTimeoutMs),
    logger: createLogger("entry", {
      name: settings.peerAddress,
      level: settings.logLevel,
    }),
    metrics: createMetrics(settings.metricsAddress, {
      role: "entry",
      dataCentre: settings.dataCentre,
    }),
    callPeer: (address, { method, request, timeoutMs }) =>
      callPeer<object, AnswerMessage>(options.peers.find(address), method, {
        request,
        timeoutMs,
      }),
    probeAddress,
    createSender: ({ url, slots, connections }) =>
      createEndpointSender(url, {
        connections: Math.min(slots, connections),
        maxReplyBytes,
      }),
    requestStop: options.requestStop,
  });
}

function replacePort(address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(":"))}:${port}`;
}

/** Waits for the first configuration version; without one an entry has no clients or endpoints to serve. */
async function waitForVersion(context: EntryContext): Promise<void> {
  while (context.phase === "starting") await waitMs(VERSION_POLL_INTERVAL_MS);
}
