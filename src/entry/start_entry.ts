import { advanceTime } from "../decide/entry/advance_time.ts";
import { forgetOldRecords } from "../decide/entry/forget_old_records.ts";
import { createEntryState } from "../decide/entry/create_entry_state.ts";
import { createRandom } from "../utils/create_random.ts";
import { startHttpServer } from "../http/start_http_server.ts";
import { processChart } from "../charts/process_chart.ts";
import { createLogger } from "../log/create_logger.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { createPeerPool } from "../peer/create_peer_pool.ts";
import { loadPeerServices } from "../peer/load_peer_services.ts";
import { startPeerServer } from "../peer/start_peer_server.ts";
import { createHttpPlatform } from "../platform/create_http_platform.ts";
import type { EntrySettings } from "../settings/entry_settings.ts";
import { createCallerApp } from "./create_caller_app.ts";
import { createInitialVersion } from "./create_initial_version.ts";
import { createPeerHandlers } from "./create_peer_handlers.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";
import type { EntryHandle } from "./entry_handle.ts";
import { followView } from "./follow_view.ts";
import { keepLease } from "./keep_lease.ts";
import { keepShards } from "./keep_shards.ts";
import { stopEntry } from "./stop_entry.ts";
import { writeCommits } from "./write_commits.ts";

/** How often time alone is applied, in ms. */
const TICK_MS = 20;
/** How often old records are forgotten, in ms. */
const FORGET_MS = 10_000;

/** Starts an entry process's work; an operator's drain calls the second argument. */
export async function startEntry(
  settings: EntrySettings,
  requestStop: () => void = () => {},
): Promise<EntryHandle> {
  const services = loadPeerServices();
  const context = createContext(settings, { services, requestStop });
  const peerServer = await startPeerServer(
    settings.peerAddress,
    services.entry.service,
    createPeerHandlers(context),
  );
  const host = settings.peerAddress.slice(
    0,
    settings.peerAddress.lastIndexOf(":"),
  );
  context.name = `${host}:${peerServer.port}`;
  context.logger = createLogger("entry", {
    name: context.name,
    level: settings.logLevel,
  });
  const callerServer = await startHttpServer(
    createCallerApp(context),
    settings.callerAddress,
    "callerAddress",
  );
  const unfollow = followView(context, services.control);
  waitForVersion(context).then(() => startLoops(context));
  const callerHost = settings.callerAddress.replace(/:\d+$/, "");
  context.logger.info("entryStarted", { address: context.name });
  return {
    name: context.name,
    url: `http://${callerHost}:${callerServer.port}`,
    stop: () => stopEntry(context, { callerServer, peerServer, unfollow }),
  };
}

function createContext(
  settings: EntrySettings,
  options: {
    services: ReturnType<typeof loadPeerServices>;
    requestStop: () => void;
  },
): EntryContext {
  const { services, requestStop } = options;
  const incarnation = crypto.randomUUID();
  return {
    settings,
    name: settings.peerAddress,
    incarnation,
    state: createEntryState({
      dataCentre: settings.dataCentre,
      incarnation,
      version: createInitialVersion(),
      random: createRandom(settings.seed ?? Date.now()),
    }),
    view: {
      leases: new Map(),
      shards: new Map(),
      leavingAddresses: [],
      platformOffsetMs: Date.now() - performance.now(),
    },
    platform: createHttpPlatform(
      settings.platformUrl,
      settings.platformTimeoutMs,
    ),
    logger: createLogger("entry", {
      name: settings.peerAddress,
      level: settings.logLevel,
    }),
    metrics: createMetrics(settings.metricsAddress, {
      role: "entry",
      dataCentre: settings.dataCentre,
    }),
    peers: createPeerPool(services.entry),
    senders: new Map(),
    callers: new Map(),
    nextCaller: 1,
    phase: processChart.initial,
    wakeWriter: () => {},
    requestStop,
  };
}

/** Without a version there is nothing that the entry could serve. */
async function waitForVersion(context: EntryContext): Promise<void> {
  while (context.phase === "starting") {
    await new Promise((resolve) => setTimeout(resolve, TICK_MS));
  }
}

function startLoops(context: EntryContext): void {
  if (context.phase !== "serving") return;
  keepLease(context);
  keepShards(context);
  writeCommits(context);
  const tick = setInterval(() => {
    if (context.phase === "stopped") clearInterval(tick);
    else decide(context, advanceTime);
  }, TICK_MS);
  const forget = setInterval(() => {
    if (context.phase === "stopped") clearInterval(forget);
    else decide(context, forgetOldRecords);
  }, FORGET_MS);
}
