import { createRoleGuard } from "../http/create_role_guard.ts";
import { startHttpServer } from "../http/start_http_server.ts";
import { createLogger } from "../log/create_logger.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { createPeerPool } from "../peer/create_peer_pool.ts";
import { loadPeerServices } from "../peer/load_peer_services.ts";
import { startPeerServer } from "../peer/start_peer_server.ts";
import { createHttpPlatform } from "../store/create_http_platform.ts";
import type { ControlSettings } from "../settings/control_settings.ts";
import { formatRefusal } from "./format_refusal.ts";
import { pollPeers } from "./poll_peers.ts";
import type { ControlContext } from "./control_context.ts";
import type { ControlHandle } from "./control_handle.ts";
import { createControlHandlers } from "./create_control_handlers.ts";
import { createOperatorApp } from "./create_operator_app.ts";
import { pollPlatform } from "./poll_platform.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Largest request body of a patch, in bytes. */
const MAX_PATCH_BYTES = 4 * 1024 * 1024;

/** Starts a control daemon. */
export async function startControl(
  settings: ControlSettings,
): Promise<ControlHandle> {
  const services = loadPeerServices();
  const context = createContext(settings, services);
  const peerServer = await startPeerServer(
    settings.peerAddress,
    services.control.service,
    createControlHandlers(context),
  );
  const operatorServer = await startHttpServer(
    {
      app: createOperatorApp(context),
      readMaxBodyBytes: () => MAX_PATCH_BYTES,
      formatRefusal,
    },
    { address: settings.operatorAddress, key: "operatorAddress" },
    createRoleGuard(settings, context),
  );
  pollPlatform(context);
  pollPeers(context);
  const peerHost = settings.peerAddress.replace(/:\d+$/, "");
  const operatorHost = settings.operatorAddress.replace(/:\d+$/, "");
  const peerAddress = `${peerHost}:${peerServer.port}`;
  context.logger.info("controlStarted", { address: peerAddress });
  return {
    peerAddress,
    url: `http://${operatorHost}:${operatorServer.port}`,
    stop: async () => {
      context.stopped = true;
      await operatorServer.stop();
      await peerServer.stop();
      context.peers.close();
      await context.platform.close();
      context.metrics.close();
      context.logger.info("controlStopped");
    },
  };
}

function createContext(
  settings: ControlSettings,
  services: ReturnType<typeof loadPeerServices>,
): ControlContext {
  const { platformUrl, platformTimeoutMs } = settings;
  return {
    settings,
    platform: createHttpPlatform(platformUrl, platformTimeoutMs),
    logger: createLogger("control", {
      name: settings.peerAddress,
      level: settings.logLevel,
    }),
    metrics: createMetrics(settings.metricsAddress, {
      role: "control",
      dataCentre: settings.dataCentre,
    }),
    peers: createPeerPool(services.control),
    version: 0,
    configuration: undefined,
    leases: new Map(),
    shards: new Map(),
    leavingAddresses: [],
    revisions: new Map(),
    lastResponseAtMs: readMonotonicMs(),
    isPlatformReachable: true,
    watchers: new Map(),
    stopped: false,
  };
}
