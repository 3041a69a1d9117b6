import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import { cancelStoredJob } from "../kept/cancel_stored_job.ts";
import { createJobWriter } from "../kept/create_job_writer.ts";
import type { StoreOutcome } from "../kept/store_outcome.ts";
import { readJobState } from "../kept/read_job_state.ts";
import { canEverFit } from "../scheduler/can_ever_fit.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { isBacklogFull } from "../decide/is_backlog_full.ts";
import { computeShare } from "../decide/compute_share.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import { keepEndpoints } from "./keep_endpoints.ts";
import { createOpenJobs } from "./create_open_jobs.ts";
import type { EventLog } from "./event_log.ts";
import { followScheduler } from "./follow_scheduler.ts";
import { keepBeat } from "./keep_beat.ts";
import type { RunningVm } from "./running_vm.ts";
import { startLinkServer } from "./start_link_server.ts";
import { startSchedulerHost } from "./start_scheduler_host.ts";
import type { VmPorts } from "./vm_ports.ts";
import type { VmReport } from "./vm_report.ts";
import type { VmSettings } from "./vm_settings.ts";

/** How often a stopping VM looks whether its callers have been answered, in ms. */
const LOOK_MS = 20;
/** Time for the last answers to leave, in ms. */
const ANSWER_MS = 100;
/** A VM without a scheduler for this long takes no new connections, in ms: a takeover's time. */
const UNREADY_MS = 1_500;

/** Starts the parts of a VM's process that do not face the callers. */
export async function startVm(options: {
  settings: VmSettings;
  ports: VmPorts;
  log: EventLog;
  configurationVersion: () => number;
  heardVersion: (version: number) => void;
  isStoreReachable: () => boolean;
}): Promise<RunningVm> {
  const { settings, ports, log } = options;
  const incarnation = crypto.randomUUID();
  const jobs = createOpenJobs(log);
  let isDraining = false;
  let linkedMs = readMonotonicMs();

  const beat = keepBeat({
    table: ports.table,
    log,
    findHost: () => follower.findHost(),
  });
  const readReport = (): VmReport => ({
    name: settings.name,
    address: settings.peerAddress,
    dataCentre: settings.dataCentre,
    isDraining,
    isStoreReachable: options.isStoreReachable(),
    configurationVersion: options.configurationVersion(),
  });
  const endpoints = keepEndpoints(ports);
  const writer = createJobWriter(
    ports.table,
    () => settings.mostRowBytes,
  );
  function storeJob(order: JobOrder): Promise<StoreOutcome> {
    if (!options.isStoreReachable()) return Promise.resolve("notStored");
    const backlogMs = follower.kept.readBacklogMs(order.service);
    if (isBacklogFull(backlogMs)) return Promise.resolve("busy");
    const rows = endpoints.read();
    const canFit = rows.length === 0 ||
      order.steps.every((step) => canEverFit(rows, order.service, step));
    return canFit ? writer.store(order) : Promise.resolve("neverFits");
  }
  function readShare(
    rows: EndpointRow[],
    among: { name: string; dataCentre: string }[],
  ): Promise<EndpointRow[]> {
    return Promise.resolve(computeShare(rows, settings, among));
  }
  const server = await startLinkServer(
    settings.peerAddress,
    () => follower.findHost(),
    () => follower.findRow(),
  );
  const follower = followScheduler({
    settings,
    incarnation,
    ports,
    jobs,
    log,
    readReport,
    heardVersion: options.heardVersion,
    startHost: ({ soloAmong, ...start }) =>
      startSchedulerHost({
        ...start,
        isSolo: soloAmong !== undefined,
        knownEndpoints: soloAmong ? [] : endpoints.read().map(({ id }) => id),
        settings,
        ports: soloAmong
          ? {
            ...ports,
            readEndpoints: () => readShare(endpoints.read(), soloAmong),
          }
          : ports,
        log,
        configurationVersion: options.configurationVersion,
      }),
  });

  function isReady(): boolean {
    const nowMs = readMonotonicMs();
    if (jobs.hasLink()) linkedMs = nowMs;
    return !isDraining && nowMs - linkedMs < UNREADY_MS;
  }

  function isIdle(): boolean {
    return jobs.isEmpty() && writer.count() === 0;
  }

  async function stopGracefully(): Promise<void> {
    isDraining = true;
    log("stopping", { jobs: jobs.count() });
    follower.findHost()?.resign("stop");
    const untilMs = readMonotonicMs() + settings.stopWithinMs;
    while (!isIdle() && readMonotonicMs() < untilMs) {
      await waitMs(LOOK_MS);
    }
    log("drained", { jobs: jobs.count() });
    if (jobs.isEmpty()) return;
    jobs.giveUp();
    await waitMs(ANSWER_MS);
  }

  return {
    submit: (order: JobOrder, answer: (outcome: JobOutcome) => void) =>
      jobs.submit(order, answer),
    cancel: jobs.cancel,
    store: storeJob,
    readState: (id) => readJobState(ports.table, id),
    cancelStored: (id) => cancelStoredJob(ports.table, id),
    countPending: follower.kept.countPending,
    readBacklogMs: follower.kept.readBacklogMs,
    isReady,
    isDraining: () => isDraining,
    isIdle,
    countOpen: jobs.count,
    readLevels: () => ({
      scheduler_heard_age_ms: follower.kept.readAgeMs(),
      waiting_for_store: writer.count(),
      ...follower.findHost()?.readLevels(),
    }),
    drain: stopGracefully,
    stop: async () => {
      follower.stop();
      beat.stop();
      endpoints.stop();
      jobs.close();
      await server.stop();
    },
  };
}
