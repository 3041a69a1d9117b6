import type { ClientLimits } from "../client_limits/client_limits.ts";
import { createEvacuationsView } from "../evacuation/create_evacuations_view.ts";
import type { Evacuations } from "../evacuation/evacuations.ts";
import { describeEvacuations } from "../evacuation/describe_evacuations.ts";
import { isGroupEvacuated } from "../evacuation/is_group_evacuated.ts";
import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import { cancelStoredJob } from "../stored_jobs/cancel_stored_job.ts";
import { createJobWriter } from "../stored_jobs/create_job_writer.ts";
import { findStoreRefusal } from "../stored_jobs/find_store_refusal.ts";
import type { Table } from "../store/table.ts";
import type { StoreOutcome } from "../stored_jobs/store_outcome.ts";
import { readStoredJobState } from "../stored_jobs/read_stored_job_state.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { computeSuccessionRank } from "../decide/compute_succession_rank.ts";
import { computeEndpointShare } from "../decide/compute_endpoint_share.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import { findGroup } from "../group/find_group.ts";
import type { GroupLayout } from "../group/group_layout.ts";
import { loadOrCreateLayout } from "../group/load_or_create_layout.ts";
import { listGroups } from "../group/list_groups.ts";
import { createGuestLinks } from "./create_guest_links.ts";
import { createEventLoopMonitor } from "./create_event_loop_monitor.ts";
import { createSlowdownMonitor } from "./create_slowdown_monitor.ts";
import { createTicker } from "./create_ticker.ts";
import { createStoredJobsView } from "./create_stored_jobs_view.ts";
import { pollGroupSummaries } from "./poll_group_summaries.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import { createEndpointCache } from "./create_endpoint_cache.ts";
import { createOpenJobs } from "./create_open_jobs.ts";
import type { EventLog } from "./event_log.ts";
import { followScheduler } from "./follow_scheduler.ts";
import { followStoredJobsGroup } from "./follow_stored_jobs_group.ts";
import { startHeartbeat } from "./start_heartbeat.ts";
import type { RunningVm } from "./running_vm.ts";
import { startLinkServer } from "./start_link_server.ts";
import { startSchedulerHost } from "./start_scheduler_host.ts";
import type { VmPorts } from "./vm_ports.ts";
import type { VmReport } from "./vm_report.ts";
import type { VmSettings } from "./vm_settings.ts";

/** Interval at which a draining VM checks whether all callers have been answered, in ms. */
const DRAIN_POLL_INTERVAL_MS = 20;
/** Age at which the list of endpoints is read again in solo mode, in ms: below the time in which a worker that has lost capacity must get no more than it has left. */
const SOLO_LIST_AGE_MS = 1_500;
/** A VM without a scheduler for this long is not ready for new connections, in ms: the time that a takeover may take. */
const UNREADY_AFTER_MS = 1_500;

/** Starts the parts of a VM's process other than the interface for callers. Rejects when the address for links cannot be bound. */
export async function startVm(options: {
  settings: VmSettings;
  ports: VmPorts & {
    /** The same table, for calls on behalf of callers, which do not delay other calls. */
    callerTable: Table;
  };
  clientLimits: ClientLimits;
  log: EventLog;
  configurationVersion: () => number;
  /** Called with the scheduler's configuration version, which may be later than this VM's. */
  onVersionSeen: (version: number) => void;
  isStoreReachable: () => boolean;
  /** Reads the evacuated data centres as this VM last read them from the store; undefined before that. */
  readEvacuations: () => Evacuations | undefined;
}): Promise<RunningVm> {
  const { settings, ports, log } = options;
  const incarnation = crypto.randomUUID();
  const jobs = createOpenJobs(log, (group) => guestLinks?.request(group), {
    maxOrderBytes: options.clientLimits.maxOrderBytes,
  });
  const storedJobsView = createStoredJobsView();
  const ticker = createTicker();
  const eventLoop = createEventLoopMonitor(ticker);
  const slowdown = createSlowdownMonitor(ticker, settings);
  /** The scheduler rows of all groups, by key. */
  const holders = new Map<string, SchedulerRow>();
  let follower: ReturnType<typeof followScheduler> | undefined;
  let heartbeat: ReturnType<typeof startHeartbeat> | undefined;
  let summaries: ReturnType<typeof pollGroupSummaries> | undefined;
  let guestLinks: ReturnType<typeof createGuestLinks> | undefined;
  let isStopped = false;
  let isDraining = false;
  let isStopping = false;
  let linkedMs = readMonotonicMs();

  const evacuations = createEvacuationsView({
    readStored: options.readEvacuations,
    isExpected: () => settings.limits.evacuateMs !== undefined,
    log,
  });
  const readReport = (): VmReport => ({
    name: settings.name,
    address: settings.peerAddress,
    dataCentre: settings.dataCentre,
    strength: settings.strength,
    loopDelayMs: eventLoop.readDelayMs(),
    slowedMs: slowdown.readSlowedMs(),
    isGuest: false,
    isDraining,
    isStoreReachable: options.isStoreReachable(),
    configurationVersion: options.configurationVersion(),
    evacuations: evacuations.read(),
  });
  const endpointCache = createEndpointCache(ports);
  const jobWriter = createJobWriter(
    ports.table,
    () => settings.mostRowBytes,
    { maxWaitingBytes: options.clientLimits.maxUnstoredBytes },
  );
  function storeJob(order: JobOrder): Promise<StoreOutcome> {
    if (!options.isStoreReachable()) return Promise.resolve("notStored");
    const refusal = findStoreRefusal(order, {
      backlogMs: storedJobsView.readBacklogMs(order.service),
      rows: endpointCache.read(),
      evacuations: evacuations.read(),
    });
    if (refusal) return Promise.resolve(refusal);
    return jobWriter.store(order);
  }
  function readEndpointShare(
    rows: EndpointRow[],
    soloPeers: { name: string; dataCentre: string }[],
  ): Promise<EndpointRow[]> {
    return Promise.resolve(computeEndpointShare(rows, settings, soloPeers));
  }
  const server = await startLinkServer(
    settings.peerAddress,
    () => follower?.findHost(),
    () => follower?.findRow(),
  );
  const layoutLoader = loadOrCreateLayout({
    ...ports,
    successionRank: computeSuccessionRank({
      successionIndex: -1,
      strength: settings.strength,
    }),
    log,
  });
  layoutLoader.layout.then((layout) => {
    if (!isStopped) joinGroup(layout);
  });

  function joinGroup(layout: GroupLayout): void {
    const group = findGroup(layout, settings.dataCentre);
    const groups = listGroups(layout);
    const keys = formatRowKeys(group);
    const others = groups.filter((other) => other !== group);
    const selectRows = (rows: EndpointRow[]) =>
      rows.filter((row) => findGroup(layout, row.dataCentre) === group);
    log("groupJoined", { group, groups: groups.length });
    const findHost = () => follower?.findHost();
    const isGroupOpen = (one: string) =>
      !isGroupEvacuated(layout, one, evacuations.read());
    heartbeat = startHeartbeat({
      table: ports.table,
      ticker,
      key: keys.heartbeat,
      log,
      findHost,
    });
    const storedJobsGroup = followStoredJobsGroup({
      table: ports.table,
      log,
      group,
      groups,
      isOpen: isGroupOpen,
      onReturned: () => follower?.restartScheduler("storedJobsGiven"),
    });
    summaries = pollGroupSummaries({
      table: ports.table,
      ticker,
      log,
      groups: others,
      findHost,
      isOpen: isGroupOpen,
      onRead: storedJobsGroup.review,
    });
    guestLinks = createGuestLinks({
      jobs,
      findRow: (other) => holders.get(formatRowKeys(other).scheduler),
      readReport,
      ticker,
      log,
    });
    follower = followScheduler({
      settings,
      incarnation,
      group,
      hasOtherGroups: others.length > 0,
      ports,
      ticker,
      jobs,
      log,
      storedJobsView,
      readReport,
      onVersionSeen: options.onVersionSeen,
      onEvacuationsSeen: evacuations.update,
      onHolderFound: (key, row) => holders.set(key, row),
      startHost: ({ soloPeers, ...start }) => {
        const host = startSchedulerHost({
          ...start,
          isSolo: soloPeers !== undefined,
          hasOtherGroups: others.length > 0,
          readReport,
          roleKey: keys.scheduler,
          knownEndpointIds: soloPeers
            ? []
            : selectRows(endpointCache.read()).map(({ id }) => id),
          settings,
          ports: {
            ...ports,
            readEndpoints: soloPeers
              ? () =>
                readEndpointShare(
                  endpointCache.read(SOLO_LIST_AGE_MS),
                  soloPeers,
                )
              : async () => selectRows(await ports.readEndpoints()),
          },
          log,
          configurationVersion: options.configurationVersion,
          evacuations,
        });
        // With other groups it depends on a row that is read at short intervals.
        if (others.length === 0) host.setRunsStoredJobs(true);
        return host;
      },
    });
  }

  function isReady(): boolean {
    const nowMs = readMonotonicMs();
    if (jobs.hasLink()) linkedMs = nowMs;
    return !isDraining && nowMs - linkedMs < UNREADY_AFTER_MS;
  }

  function isIdle(): boolean {
    return jobs.isEmpty() && jobWriter.count() === 0;
  }

  async function stopGracefully(): Promise<void> {
    isDraining = true;
    log("stopping", { jobs: jobs.count() });
    follower?.findHost()?.resign("stop");
    const untilMs = readMonotonicMs() + settings.stopWithinMs;
    while (!isIdle() && readMonotonicMs() < untilMs) {
      await waitMs(DRAIN_POLL_INTERVAL_MS);
    }
    log("drained", { jobs: jobs.count() });
    // Nothing may be begun between the last look at the open jobs and the exit.
    isStopping = true;
    jobs.abandonAll();
    jobWriter.abandonAll();
  }

  return {
    submit: (order: JobOrder, answer: (outcome: JobOutcome) => void) =>
      jobs.submit(order, answer),
    cancel: jobs.cancel,
    storeJob,
    readJobState: (id) => readStoredJobState(ports.callerTable, id),
    cancelStoredJob: (id) => cancelStoredJob(ports.callerTable, id),
    countPendingJobs: storedJobsView.countPendingJobs,
    readBacklogMs: storedJobsView.readBacklogMs,
    isReady,
    isDraining: () => isDraining,
    isStopping: () => isStopping,
    isIdle,
    countOpenJobs: jobs.count,
    readGauges: () => ({
      scheduler_heard_age_ms: storedJobsView.readAgeMs(),
      waiting_for_store: jobWriter.count(),
      ...describeEvacuations(evacuations.readAges()),
      ...follower?.findHost()?.readGauges(),
    }),
    drain: stopGracefully,
    stop: async () => {
      isStopped = true;
      layoutLoader.stop();
      follower?.stop();
      heartbeat?.stop();
      summaries?.stop();
      guestLinks?.stop();
      endpointCache.stop();
      jobs.close();
      eventLoop.stop();
      slowdown.stop();
      ticker.stop();
      await server.stop();
    },
  };
}
