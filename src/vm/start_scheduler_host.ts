import { applyEvacuations } from "../evacuation/apply_evacuations.ts";
import type { createEvacuationsView } from "../evacuation/create_evacuations_view.ts";
import { canLeaveStoredJobs } from "../evacuation/can_leave_stored_jobs.ts";
import { hasSameDataCentres } from "../evacuation/has_same_data_centres.ts";
import { dropCaller } from "../scheduler/drop_caller.ts";
import { advanceScheduler } from "../scheduler/advance_scheduler.ts";
import { computeBacklogs } from "../decide/compute_backlogs.ts";
import { computeFencingToken } from "./compute_fencing_token.ts";
import { createSchedulerState } from "../scheduler/create_scheduler_state.ts";
import { describeGroupCapacity } from "../scheduler/describe_group_capacity.ts";
import { describeGauges } from "../scheduler/describe_gauges.ts";
import { findResignationReason } from "../decide/find_resignation_reason.ts";
import { canHaveStoredJobs } from "../scheduler/can_have_stored_jobs.ts";
import { setEndpointTakenOver } from "../scheduler/set_endpoint_taken_over.ts";
import { dropVm } from "../scheduler/drop_vm.ts";
import { reclaimEndpoints } from "../scheduler/reclaim_endpoints.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { countPending } from "../scheduler/count_pending.ts";
import { submitJob } from "../scheduler/submit_job.ts";
import { takeEffects } from "../scheduler/take_effects.ts";
import { updateEndpoints } from "../scheduler/update_endpoints.ts";
import { startStoredJobSync } from "../stored_jobs/start_stored_job_sync.ts";
import { readError } from "../errors/read_error.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { Attachment } from "./attachment.ts";
import { createEffectRunner } from "./create_effect_runner.ts";
import { createEndpointSessions } from "./create_endpoint_sessions.ts";
import { createVmLinks } from "./create_vm_links.ts";
import type { EventLog } from "./event_log.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { LinkedVm } from "./linked_vm.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import type { SchedulerStatus } from "./scheduler_status.ts";
import type { VmLink } from "./vm_link.ts";
import type { VmPorts } from "./vm_ports.ts";
import type { VmReport } from "./vm_report.ts";
import type { VmSettings } from "./vm_settings.ts";

/** Interval at which the scheduler's time-driven decisions run, in ms. */
const ADVANCE_INTERVAL_MS = 20;
/** Interval at which the list of endpoints is read, in ms; well below the time in which a draining endpoint still accepts tasks. */
const ENDPOINTS_POLL_INTERVAL_MS = 400;
/** Interval at which the list of endpoints is read where other groups exist, in ms; longer, because the schedulers of all groups read this large list. */
const GROUPED_ENDPOINTS_POLL_INTERVAL_MS = 1_000;
/** Interval between two heartbeats to the VMs of the group, in ms. */
const HEARTBEAT_INTERVAL_MS = 100;
/** Over a guest link only one in this many heartbeats is sent. */
const HEARTBEATS_PER_GUEST_HEARTBEAT = 2;
/** For this long after a heartbeat was sent no other VM can have taken the role, in ms: less than the age at which a heartbeat is stale. */
const ROLE_EXCLUSIVE_MS = 280;
/** Where other groups exist, the role counts as exclusive for this long without a heartbeat that reached the store, in ms. The leases of the stored jobs' runs expire before another group may take these jobs over. */
const MAX_UNCONFIRMED_MS = 5_000;
/** After a failed read the list of endpoints may lack entries; it counts as reliable again after this time, in ms. */
const LIST_RELIABLE_AFTER_MS = 2_500;

/** Starts a scheduler in this process, for the group or in solo mode. */
export function startSchedulerHost(options: {
  epoch: number;
  /** Fencing token, sent with each order. The first token of an epoch is the scheduler's, the others are for VMs in solo mode. */
  token: number;
  /** Whether this VM is in solo mode. */
  isSolo: boolean;
  settings: VmSettings;
  ports: VmPorts;
  log: EventLog;
  /** Called when endpoints or a VM obey a later scheduler; `share` is the part, 0 to 1, of the answering endpoints that do, and 1 for a VM that has left or a store write that failed. */
  onSuperseded: (share: number) => void;
  /** The other VMs known at the start: they count as lost until they link. */
  vms: LinkedVm[];
  configurationVersion: () => number;
  /** This VM's view of the evacuations. Default: there are none. */
  evacuations?: Pick<
    ReturnType<typeof createEvacuationsView>,
    "read" | "update"
  >;
  readReport: () => Pick<VmReport, "loopDelayMs" | "slowedMs">;
  /** Whether there may be stored jobs, as the last scheduler reported. */
  hasKeptJobs: boolean;
  /** Key of the scheduler row, which gives this process the role. */
  roleKey: string;
  /** Ids of the endpoints in the last list that this VM has read. */
  knownEndpointIds: string[];
  /** Reads the revision of the scheduler row under which this process has the role. */
  readRoleRevision: () => number;
  /** Whether other groups have schedulers of their own. Default: false. */
  hasOtherGroups?: boolean;
}): SchedulerHost {
  const { settings, ports, log, isSolo } = options;
  let { epoch } = options;
  const state: SchedulerState = createSchedulerState(options.token, {
    limits: settings.limits,
    nowMs: readMonotonicMs(),
    isSolo,
    hasKeptJobs: options.hasKeptJobs,
    // A VM in solo mode leaves stored jobs to the scheduler. Any other scheduler may be the one that runs them.
    areStoredJobsRead: isSolo,
    hasOtherGroups: options.hasOtherGroups,
    knownEndpointIds: options.knownEndpointIds,
  });
  if (!isSolo) {
    state.roleExclusiveUntilMs = readMonotonicMs() + ROLE_EXCLUSIVE_MS;
  }
  applyEvacuations(state, options.evacuations?.read(), readMonotonicMs());
  const startedMs = readMonotonicMs();
  /** When the last heartbeat that reached the store was sent, in ms. */
  let heartbeatSentMs = startedMs;
  const { name, dataCentre, peerAddress: address } = settings;
  const links = createVmLinks({ name, dataCentre, address }, options.vms);
  let heartbeatCount = 0;
  /** The list of VMs that is sent to the linked VMs, its JSON text, and the number of its changes as a version. */
  let vmList = { vms: [] as LinkedVm[], text: "", version: 0 };
  let resignedMs = 0;
  /** Summary of the group that runs the stored jobs, if that is another group. */
  let otherGroupStoredJobs: GroupSummary | undefined;
  /** Reads and saves the stored jobs, while this scheduler runs them. */
  let storedJobSync: { stop(): void } | undefined;
  /** Whether the stored jobs are about to be handed over to another group. */
  let areStoredJobsPaused = false;
  let isStopped = false;
  let listFailedMs = 0;

  const sessions = createEndpointSessions({
    state,
    createClient: ports.createEndpointClient,
    applyDecision,
    onSuperseded: (endpointId) => {
      applyDecision(() => setEndpointTakenOver(state, endpointId));
      options.onSuperseded(computeTakenShare());
    },
  });

  const runEffect = createEffectRunner({
    sessions,
    findLinkEvents: (vm) => links.find(vm)?.events,
    log,
  });

  function computeTakenShare(): number {
    let taken = 0;
    let answering = 0;
    for (const { phase } of state.endpoints.values()) {
      if (phase === "taken") taken += 1;
      if (phase !== "silent") answering += 1;
    }
    return answering === 0 ? 0 : taken / answering;
  }

  function applyDecision(decide: (nowMs: number) => void): void {
    if (isStopped) return;
    decide(readMonotonicMs());
    for (const effect of takeEffects(state)) runEffect(effect);
  }

  async function pollEndpoints(): Promise<void> {
    while (!isStopped) {
      try {
        const rows = await ports.readEndpoints();
        const nowMs = readMonotonicMs();
        const isListReliable = nowMs - listFailedMs > LIST_RELIABLE_AFTER_MS;
        applyDecision(() =>
          updateEndpoints(state, rows, { nowMs, isListReliable })
        );
        sessions.refresh();
      } catch (thrown) {
        listFailedMs = readMonotonicMs();
        log("endpointsNotRead", { message: readError(thrown).message });
      }
      await waitMs(
        options.hasOtherGroups
          ? GROUPED_ENDPOINTS_POLL_INTERVAL_MS
          : ENDPOINTS_POLL_INTERVAL_MS,
      );
    }
  }

  function attach(vm: string, events: LinkEvents): Attachment {
    const link: VmLink = { events, sentVmListVersion: 0 };
    // The earlier link of the VM is dropped; the VM resubmits the jobs that it still has.
    if (links.find(vm)) {
      applyDecision((nowMs) => dropVm(state, vm, { how: "silent", nowMs }));
    }
    links.add(vm, link);
    log("vmLinked", { vm, epoch, links: links.count() });
    const isCurrent = () => links.find(vm) === link;
    return {
      report: (report) => {
        const isFirst = link.report === undefined;
        link.report = report;
        links.recordReport(vm);
        options.evacuations?.update(report.evacuations);
        if (isFirst) sendStatus(link, describeStatus());
      },
      submit: (order, progress) => {
        // A job that arrives after the VM has left would keep running, as the VM could not abandon it.
        if (!isCurrent()) return;
        applyDecision((nowMs) =>
          submitJob(state, order, { vm, nowMs, progress })
        );
      },
      abandon: (jobId, reason) =>
        applyDecision((nowMs) =>
          dropCaller(state, jobId, { vm, nowMs, reason })
        ),
      leave: () => {
        if (!isCurrent()) return;
        links.remove(vm);
        log("vmLeft", { vm, epoch, links: links.count() });
        applyDecision((nowMs) => dropVm(state, vm, { how: "silent", nowMs }));
        events.left();
        // A VM of the group leaves only for a later scheduler.
        const isGuest = link.report?.isGuest === true;
        if (vm !== settings.name && !isGuest) options.onSuperseded(1);
      },
      handleLost: (how) => {
        if (!isCurrent()) return;
        links.remove(vm);
        links.recordLoss(vm, link);
        log("vmLost", { vm, how, epoch, links: links.count() });
        applyDecision((nowMs) => dropVm(state, vm, { how, nowMs }));
      },
    };
  }

  function resign(reason: string): boolean {
    const to = links.listSuccessors().find((one) =>
      reason === "stop" || links.find(one)?.report?.isStoreReachable
    );
    const chosen = to === undefined ? undefined : links.find(to);
    log("schedulerResigned", { epoch, to, reason });
    chosen?.events.resignation(reason);
    return chosen !== undefined;
  }

  function listReclaimableDataCentres(): Set<string> {
    const dataCentres = new Set<string>();
    for (const { phase, row } of state.endpoints.values()) {
      if (phase === "taken") dataCentres.add(row.dataCentre);
    }
    for (const lost of links.listLostDataCentres()) dataCentres.delete(lost);
    return dataCentres;
  }

  function beginEpoch(laterEpoch: number): void {
    const dataCentres = listReclaimableDataCentres();
    epoch = laterEpoch;
    const token = computeFencingToken(laterEpoch, 0);
    applyDecision(() => reclaimEndpoints(state, token, dataCentres));
  }

  /** Counts the stored jobs of which no task has started, by route; undefined in solo mode and until the stored jobs have been read. */
  function listPendingJobs(): Record<string, number> | undefined {
    if (isSolo || !state.areStoredJobsRead) return undefined;
    return state.hasKeptJobs ? countPending(state) : {};
  }

  function describeStatus(): SchedulerStatus {
    const vms = links.listVms();
    const text = JSON.stringify(vms);
    if (text !== vmList.text) {
      vmList = { vms, text, version: vmList.version + 1 };
    }
    return {
      epoch,
      configurationVersion: options.configurationVersion(),
      hasKeptJobs: canHaveStoredJobs(state),
      ...(storedJobSync
        ? {
          pending: listPendingJobs(),
          backlogsMs: state.hasKeptJobs ? computeBacklogs(state) : {},
        }
        : {
          pending: otherGroupStoredJobs?.pending,
          backlogsMs: otherGroupStoredJobs?.backlogsMs ?? {},
        }),
    };
  }

  function sendStatus(link: VmLink, common: SchedulerStatus): void {
    const isListKnown = hasSameDataCentres(
      state.evacuations,
      link.report?.evacuations,
    );
    const status = isListKnown
      ? common
      : { ...common, evacuations: state.evacuations };
    const hasSentVmList = link.sentVmListVersion === vmList.version;
    const maySendVmList = link.report !== undefined && !link.report.isGuest;
    if (hasSentVmList || !maySendVmList) {
      link.events.status(status);
      return;
    }
    link.sentVmListVersion = vmList.version;
    link.events.status({ ...status, successors: vmList.vms });
  }

  function sendHeartbeat(): void {
    heartbeatCount += 1;
    const status = describeStatus();
    for (const link of links.list()) {
      const isDue = !link.report?.isGuest ||
        heartbeatCount % HEARTBEATS_PER_GUEST_HEARTBEAT === 0;
      if (isDue) sendStatus(link, status);
    }
    resignToStrongerVm();
  }

  /** Resigns when the first successor has a clearly faster, less loaded or stronger processor. */
  function resignToStrongerVm(): void {
    if (isSolo) return;
    const nowMs = readMonotonicMs();
    const [best] = links.listSuccessors();
    const report = links.find(best)?.report;
    if (!report?.isStoreReachable) return;
    const reason = findResignationReason({
      ...options.readReport(),
      strength: settings.strength,
      roleAgeMs: nowMs - Math.max(startedMs, resignedMs),
    }, report);
    if (!reason) return;
    resignedMs = nowMs;
    resign(reason);
  }

  function advance(nowMs: number): void {
    state.lostVmCount = links.countSoloVms(nowMs);
    // A VM that was lost at the last written heartbeat, or since, may still run and reach the store, however long ago it was lost.
    if (canConfirmWithoutStore(nowMs)) confirmRole(nowMs);
    applyEvacuations(state, options.evacuations?.read(), nowMs);
    advanceScheduler(state, nowMs);
  }

  /** Whether no other VM can have taken the role, although no heartbeat reaches the store. */
  function canConfirmWithoutStore(nowMs: number): boolean {
    if (isSolo || !links.isStoreLostForAll(heartbeatSentMs)) return false;
    // VMs of other groups, which are not linked, may reach the store and take the stored jobs over.
    return !options.hasOtherGroups ||
      nowMs - heartbeatSentMs < MAX_UNCONFIRMED_MS;
  }

  function setRunsStoredJobs(runsStoredJobs: boolean): void {
    if (isSolo || isStopped) return;
    if (storedJobSync) {
      if (!runsStoredJobs) options.onSuperseded(1);
      return;
    }
    state.areStoredJobsRead = !runsStoredJobs;
    if (!runsStoredJobs) return;
    storedJobSync = startStoredJobSync({
      roleKey: options.roleKey,
      table: ports.table,
      state,
      applyDecision,
      log,
      readRoleRevision: options.readRoleRevision,
      onSuperseded: () => options.onSuperseded(1),
      onEndsStored: sessions.notifyEndsStored,
      readEndRetentionMs: () => settings.keepEndsMs,
    });
  }

  function tryPauseStoredJobs(): boolean {
    const nowMs = readMonotonicMs();
    const canPause = storedJobSync !== undefined &&
      canLeaveStoredJobs(state, nowMs);
    if (!canPause) return false;
    areStoredJobsPaused = true;
    // No task of a stored job starts after that, also if the evacuation ends meanwhile.
    state.roleExclusiveUntilMs = Math.min(
      state.roleExclusiveUntilMs,
      nowMs - 1,
    );
    return true;
  }

  function confirmRole(atMs: number): void {
    if (areStoredJobsPaused) return;
    const untilMs = atMs + ROLE_EXCLUSIVE_MS;
    state.roleExclusiveUntilMs = Math.max(state.roleExclusiveUntilMs, untilMs);
  }

  const advanceTimer = setInterval(
    () => applyDecision(advance),
    ADVANCE_INTERVAL_MS,
  );
  const heartbeatTimer = setInterval(sendHeartbeat, HEARTBEAT_INTERVAL_MS);
  pollEndpoints();
  log("schedulerBegan", { epoch, token: options.token, isSolo });

  return {
    get epoch() {
      return epoch;
    },
    listReclaimableDataCentres,
    beginEpoch,
    confirmRole: (atMs) => {
      heartbeatSentMs = Math.max(heartbeatSentMs, atMs);
      confirmRole(atMs);
    },
    setRunsStoredJobs,
    tryPauseStoredJobs,
    resumeStoredJobs: () => {
      areStoredJobsPaused = false;
    },
    readRoleRevision: options.readRoleRevision,
    attach,
    listSuccessors: links.listSuccessors,
    resign,
    describeSummary: () => ({
      rooms: describeGroupCapacity(state),
      pending: storedJobSync ? listPendingJobs() : undefined,
      backlogsMs: storedJobSync && state.hasKeptJobs
        ? computeBacklogs(state)
        : undefined,
    }),
    setGroupSummaries: (summaries) => {
      state.otherGroupCapacities = [...summaries].flatMap((
        [group, { rooms }],
      ) => rooms.map((room) => ({ ...room, group })));
      if (summaries.size > 0) {
        state.lastGroupCapacities = state.otherGroupCapacities;
      }
      const storedJobsSummary = [...summaries.values()].find(({ pending }) =>
        pending
      );
      otherGroupStoredJobs = storedJobsSummary;
    },
    readGauges: () => ({
      ...describeGauges(state, readMonotonicMs()),
      scheduler_epoch: epoch,
      scheduler_links: links.count(),
    }),
    stop: () => {
      if (isStopped) return;
      isStopped = true;
      clearInterval(advanceTimer);
      clearInterval(heartbeatTimer);
      storedJobSync?.stop();
      sessions.close();
      for (const { events } of links.list()) events.left();
      log("schedulerEnded", { epoch, jobs: state.jobs.size, isSolo });
    },
  };
}
