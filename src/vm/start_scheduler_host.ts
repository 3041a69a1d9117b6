import { match } from "ts-pattern";
import { dropCaller } from "../scheduler/drop_caller.ts";
import { advanceScheduler } from "../scheduler/advance_scheduler.ts";
import { computeBacklogs } from "../decide/compute_backlogs.ts";
import { computeFencingToken } from "./compute_fencing_token.ts";
import { createSchedulerState } from "../scheduler/create_scheduler_state.ts";
import { describeGroupCapacity } from "../scheduler/describe_group_capacity.ts";
import { describeGauges } from "../scheduler/describe_gauges.ts";
import type { Effect } from "../scheduler/effect.ts";
import { isSchedulerTooSlow } from "../decide/is_scheduler_too_slow.ts";
import { isSchedulerTooWeak } from "../decide/is_scheduler_too_weak.ts";
import { canHaveStoredJobs } from "../scheduler/can_have_stored_jobs.ts";
import { setEndpointTaken } from "../scheduler/set_endpoint_taken.ts";
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
import { createEndpointSessions } from "./create_endpoint_sessions.ts";
import type { EventLog } from "./event_log.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { LinkedVm } from "./linked_vm.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import type { SchedulerStatus } from "./scheduler_status.ts";
import type { VmPorts } from "./vm_ports.ts";
import type { VmReport } from "./vm_report.ts";
import type { VmSettings } from "./vm_settings.ts";

/** How often what is due by time is done, in ms. */
const TICK_MS = 20;
/** Time between two readings of the endpoints' list, in ms; well inside the time a leaving one may still get tasks. */
const READ_ENDPOINTS_MS = 400;
/** The same beside other groups, whose schedulers read the same large list, in ms. */
const GROUPED_READ_MS = 1_000;
/** A VM that was lost for this long is taken as gone for good, and its endpoints come back, in ms. */
const LOST_VM_MS = 15_000;
/** A lost VM may serve alone for this long, in ms: longer than VMs are cut off. */
const ALONE_VM_MS = 60_000;
/** How often each VM of the group hears from the scheduler, in ms. */
const BEAT_MS = 100;
/** VMs of other groups hear it at each of so many beats. */
const GUEST_BEATS = 2;
/** A VM whose loop turns later than this on average comes after the others in the succession, in ms. */
const AT_EASE_MS = 20;
/** A scheduler hands over for its weakness at the earliest this long after it began, in ms: until VMs have linked and the runs are known. */
const SETTLE_MS = 3_000;
/** For this long after a beat no other can have taken the role, in ms: less than the age at which a beat is stale. */
const ROLE_MS = 280;
/** A list that lost entries while the store was away is trusted again after this, in ms. */
const LIST_SETTLE_MS = 2_500;

type Link = {
  events: LinkEvents;
  report?: VmReport;
  /** Which version of the list of VMs it has been told. */
  toldVersion: number;
};

/** Starts placing tasks under a token that this process was just given. */
export function startSchedulerHost(options: {
  epoch: number;
  /** Sent with each order; of an epoch's tokens the first is the scheduler's, later ones are of VMs that serve alone. */
  token: number;
  isSolo: boolean;
  settings: VmSettings;
  ports: VmPorts;
  log: EventLog;
  /** Called when endpoints or VMs obey a later scheduler; `share` is their part of all that answer. */
  onSuperseded: (share: number) => void;
  /** The VMs known when this process began. */
  vms: LinkedVm[];
  configurationVersion: () => number;
  /** How late this process's loop turns, in ms. */
  readLoopDelayMs: () => number;
  /** Whether there were stored jobs when this VM last heard of a scheduler. */
  hasKeptJobs: boolean;
  /** Whether stored jobs are run by this group. */
  runsStoredJobs: boolean;
  /** Key of the row that gives this process the role. */
  roleKey: string;
  /** Ids of the endpoints that this VM's last list had. */
  knownEndpoints: string[];
  /** Revision of the row that gives this process the role. */
  readRoleRevision: () => number;
  /** Whether other groups have schedulers of their own. Default: false. */
  isGrouped?: boolean;
}): SchedulerHost {
  const { settings, ports, log, isSolo } = options;
  let { epoch } = options;
  const state: SchedulerState = createSchedulerState(options.token, {
    limits: settings.limits,
    nowMs: readMonotonicMs(),
    isSolo,
    hasKeptJobs: options.hasKeptJobs,
    // A VM that serves alone leaves stored jobs to the scheduler.
    areStoredJobsRead: isSolo || !options.runsStoredJobs,
    hasOtherGroups: options.isGrouped,
    knownEndpointIds: options.knownEndpoints,
  });
  if (!isSolo) state.roleExclusiveUntilMs = readMonotonicMs() + ROLE_MS;
  const beganMs = readMonotonicMs();
  /** When the last beat that reached the store was sent, in ms. */
  let beatMs = beganMs;
  const links = new Map<string, Link>();
  let beats = 0;
  /** The VMs as last told, and how often they have changed. */
  let told = { vms: [] as LinkedVm[], text: "", version: 0 };
  let resignedMs = 0;
  /** What the group that runs stored jobs has told, if that is another. */
  let keptElsewhere: GroupSummary | undefined;
  const lostVms = new Map(
    options.vms.map((vm) => [vm.name, { ...vm, lostMs: readMonotonicMs() }]),
  );
  let isStopped = false;
  let storeLostMs = 0;

  const sessions = createEndpointSessions({
    state,
    createClient: ports.createEndpointClient,
    act,
    log,
    superseded: (endpointId) => {
      act(() => setEndpointTaken(state, endpointId));
      options.onSuperseded(computeTakenShare());
    },
  });

  function computeTakenShare(): number {
    let taken = 0;
    let heard = 0;
    for (const { phase } of state.endpoints.values()) {
      if (phase === "taken") taken += 1;
      if (phase !== "silent") heard += 1;
    }
    return heard === 0 ? 0 : taken / heard;
  }

  function act(decide: (nowMs: number) => void): void {
    if (isStopped) return;
    decide(readMonotonicMs());
    for (const effect of takeEffects(state)) runEffect(effect);
  }

  function runEffect(effect: Effect): void {
    match(effect)
      .with({ type: "startTask" }, (start) => sessions.start(start))
      .with({ type: "stopRun" }, (stop) => sessions.stop(stop))
      .with({ type: "notifyPlaced" }, ({ vms, task, endpointId }) => {
        for (const vm of vms) links.get(vm)?.events.placed(task, endpointId);
      })
      .with({ type: "notifyDone" }, ({ vms, task }) => {
        for (const vm of vms) links.get(vm)?.events.done(task);
      })
      .with({ type: "notifyEnded" }, ({ vms, jobId, outcome }) => {
        for (const vm of vms) links.get(vm)?.events.ended(jobId, outcome);
      })
      .with({ type: "notifyPassed" }, ({ vms, jobId, group }) => {
        for (const vm of vms) links.get(vm)?.events.passed(jobId, group);
      })
      .with({ type: "log" }, ({ event, fields }) => log(event, fields))
      .exhaustive();
  }

  async function followEndpoints(): Promise<void> {
    while (!isStopped) {
      try {
        const rows = await ports.readEndpoints();
        const nowMs = readMonotonicMs();
        const isListReliable = nowMs - storeLostMs > LIST_SETTLE_MS;
        act(() => updateEndpoints(state, rows, { nowMs, isListReliable }));
        sessions.refresh();
      } catch (thrown) {
        storeLostMs = readMonotonicMs();
        log("endpointsNotRead", { message: readError(thrown).message });
      }
      await waitMs(options.isGrouped ? GROUPED_READ_MS : READ_ENDPOINTS_MS);
    }
  }

  function attach(vm: string, events: LinkEvents): Attachment {
    const link: Link = { events, toldVersion: 0 };
    // Of its jobs it hands in those that it still has.
    if (links.has(vm)) {
      act((nowMs) => dropVm(state, vm, { how: "silent", nowMs }));
    }
    links.set(vm, link);
    log("vmLinked", { vm, epoch, links: links.size });
    const isCurrent = () => links.get(vm) === link;
    return {
      report: (report) => {
        const isFirst = link.report === undefined;
        link.report = report;
        lostVms.delete(vm);
        if (isFirst) sendStatus(link, describeStatus());
      },
      submit: (order, progress) => {
        // After it has left, nobody would tell that it wants the job no more.
        if (!isCurrent()) return;
        act((nowMs) => submitJob(state, order, { vm, nowMs, progress }));
      },
      abandon: (jobId, reason) =>
        act((nowMs) => dropCaller(state, jobId, { vm, nowMs, reason })),
      leave: () => {
        if (!isCurrent()) return;
        links.delete(vm);
        log("vmLeft", { vm, epoch, links: links.size });
        act((nowMs) => dropVm(state, vm, { how: "silent", nowMs }));
        events.left();
        // VMs leave only for a later scheduler.
        const isGuest = link.report?.isGuest === true;
        if (vm !== settings.name && !isGuest) options.onSuperseded(1);
      },
      lost: (how) => {
        if (!isCurrent()) return;
        links.delete(vm);
        if (link.report && !link.report.isDraining && !link.report.isGuest) {
          const { dataCentre, address } = link.report;
          const lostMs = readMonotonicMs();
          lostVms.set(vm, { name: vm, dataCentre, address, lostMs });
        }
        log("vmLost", { vm, how, epoch, links: links.size });
        act((nowMs) => dropVm(state, vm, { how, nowMs }));
      },
    };
  }

  function listSuccessors(): string[] {
    return [...links.entries()]
      .filter(([name, { report }]) =>
        name !== settings.name && report && !report.isDraining &&
        !report.isGuest
      )
      .sort(([, one], [, other]) =>
        Number(other.report?.isStoreReachable) -
          Number(one.report?.isStoreReachable) ||
        Number(isAtEase(other)) - Number(isAtEase(one)) ||
        readStrength(other) - readStrength(one)
      )
      .map(([name]) => name);
  }

  /** VMs that are not linked, or not yet: they may serve alone, on the share that is theirs among all. */
  function listLostVms(): LinkedVm[] {
    const nowMs = readMonotonicMs();
    return [...lostVms.values()]
      .filter(({ name, lostMs }) =>
        !links.has(name) && nowMs - lostMs < LOST_VM_MS
      )
      .map(({ name, dataCentre, address }) => ({ name, dataCentre, address }));
  }

  /** Successors first; this process itself comes last, as it can't succeed itself. */
  function listVms(): LinkedVm[] {
    const others = listSuccessors().map((name) => ({
      name,
      dataCentre: links.get(name)?.report?.dataCentre ?? "",
      address: links.get(name)?.report?.address ?? "",
    }));
    const { name, dataCentre, peerAddress: address } = settings;
    return [...others, ...listLostVms(), { name, dataCentre, address }];
  }

  function resign(reason: string): boolean {
    const name = listSuccessors().find((one) =>
      reason === "stop" || links.get(one)?.report?.isStoreReachable
    );
    const chosen = name === undefined ? undefined : links.get(name);
    log("schedulerResigned", { epoch, to: name, reason });
    chosen?.events.resignation(reason);
    return chosen !== undefined;
  }

  function listReclaimableDataCentres(): Set<string> {
    const returned = new Set<string>();
    for (const { phase, row } of state.endpoints.values()) {
      if (phase === "taken") returned.add(row.dataCentre);
    }
    const nowMs = readMonotonicMs();
    for (const { dataCentre, lostMs } of lostVms.values()) {
      if (nowMs - lostMs < LOST_VM_MS) returned.delete(dataCentre);
    }
    return returned;
  }

  function beginEpoch(later: number): void {
    const returned = listReclaimableDataCentres();
    epoch = later;
    const token = computeFencingToken(later, 0);
    act(() => reclaimEndpoints(state, token, returned));
  }

  /** A VM that serves alone knows of no stored jobs, and a new scheduler only once it has read them. */
  function listPending(): Record<string, number> | undefined {
    if (isSolo || !state.areStoredJobsRead) return undefined;
    return state.hasKeptJobs ? countPending(state) : {};
  }

  function describeStatus(): SchedulerStatus {
    const vms = listVms();
    const text = JSON.stringify(vms);
    if (text !== told.text) told = { vms, text, version: told.version + 1 };
    return {
      epoch,
      configurationVersion: options.configurationVersion(),
      hasKeptJobs: canHaveStoredJobs(state),
      ...(options.runsStoredJobs
        ? {
          pending: listPending(),
          backlogsMs: state.hasKeptJobs ? computeBacklogs(state) : {},
        }
        : {
          pending: keptElsewhere?.pending,
          backlogsMs: keptElsewhere?.backlogsMs ?? {},
        }),
    };
  }

  function sendStatus(link: Link, status: SchedulerStatus): void {
    const isToldVms = link.toldVersion === told.version;
    const mayTellVms = link.report !== undefined && !link.report.isGuest;
    if (isToldVms || !mayTellVms) {
      link.events.status(status);
      return;
    }
    link.toldVersion = told.version;
    link.events.status({ ...status, successors: told.vms });
  }

  function sendBeat(): void {
    beats += 1;
    const status = describeStatus();
    for (const link of links.values()) {
      const isDue = !link.report?.isGuest || beats % GUEST_BEATS === 0;
      if (isDue) sendStatus(link, status);
    }
    reviewStrength();
  }

  /** Hands over to a VM that can carry more. */
  function reviewStrength(): void {
    const nowMs = readMonotonicMs();
    if (isSolo || nowMs - Math.max(beganMs, resignedMs) < SETTLE_MS) return;
    const [best] = listSuccessors();
    const report = links.get(best)?.report;
    if (!report?.isStoreReachable) return;
    const delayMs = options.readLoopDelayMs();
    const isSlow = isSchedulerTooSlow({
      delayMs,
      successorDelayMs: report.loopDelayMs,
    });
    if (!isSlow && !isSchedulerTooWeak(settings.strength, report.strength)) {
      return;
    }
    resignedMs = nowMs;
    resign(isSlow ? "slow" : "weaker");
  }

  /** Counts the VMs that are lost, and were so for less than that at a time. */
  function countLostVms(atMs: number, withinMs: number): number {
    return [...lostVms.values()].filter(({ lostMs }) =>
      atMs - lostMs < withinMs
    ).length;
  }

  /** Where no VM reaches the store, none can take the role. One that was lost with the store may live on and reach it, however long ago that was. */
  function canNobodyTakeOver(): boolean {
    const isAnyLost = countLostVms(beatMs, LOST_VM_MS) > 0;
    const others = [...links].filter(([vm, { report }]) =>
      vm !== settings.name && !report?.isGuest
    );
    return !isAnyLost && others.length > 0 &&
      others.every(([, { report }]) => report?.isStoreReachable === false);
  }

  function advance(nowMs: number): void {
    state.lostVmCount = countLostVms(nowMs, ALONE_VM_MS);
    if (!isSolo && canNobodyTakeOver()) confirmRole(nowMs);
    advanceScheduler(state, nowMs);
  }

  function confirmRole(atMs: number): void {
    const untilMs = atMs + ROLE_MS;
    state.roleExclusiveUntilMs = Math.max(state.roleExclusiveUntilMs, untilMs);
  }

  const ticker = setInterval(() => act(advance), TICK_MS);
  const beater = setInterval(sendBeat, BEAT_MS);
  const runsStoredJobs = !isSolo && options.runsStoredJobs;
  const storedJobs = !runsStoredJobs ? undefined : startStoredJobSync({
    roleKey: options.roleKey,
    table: ports.table,
    state,
    applyDecision: act,
    log,
    readRoleRevision: options.readRoleRevision,
    onSuperseded: () => options.onSuperseded(1),
    onEndsStored: sessions.settled,
    readEndRetentionMs: () => settings.keepEndsMs,
  });
  followEndpoints();
  log("schedulerBegan", { epoch, token: options.token, isSolo });

  return {
    get epoch() {
      return epoch;
    },
    listReclaimableDataCentres,
    beginEpoch,
    confirmRole: (atMs) => {
      beatMs = Math.max(beatMs, atMs);
      confirmRole(atMs);
    },
    attach,
    listSuccessors,
    resign,
    describeSummary: () => ({
      rooms: describeGroupCapacity(state),
      pending: options.runsStoredJobs ? listPending() : undefined,
      backlogsMs: options.runsStoredJobs && state.hasKeptJobs
        ? computeBacklogs(state)
        : undefined,
    }),
    takeSummaries: (summaries) => {
      state.otherGroupRooms = [...summaries].flatMap(([group, { rooms }]) =>
        rooms.map((room) => ({ ...room, group }))
      );
      const keeper = [...summaries.values()].find(({ pending }) => pending);
      if (!options.runsStoredJobs) keptElsewhere = keeper;
    },
    readGauges: () => ({
      ...describeGauges(state, readMonotonicMs()),
      scheduler_epoch: epoch,
      scheduler_links: links.size,
    }),
    stop: () => {
      if (isStopped) return;
      isStopped = true;
      clearInterval(ticker);
      clearInterval(beater);
      storedJobs?.stop();
      sessions.close();
      for (const { events } of links.values()) events.left();
      log("schedulerEnded", { epoch, jobs: state.jobs.size, isSolo });
    },
  };
}

function readStrength({ report }: Link): number {
  return report?.strength ?? 0;
}

/** Whether a VM's loop leaves it time for a scheduler's work. */
function isAtEase({ report }: Link): boolean {
  return report !== undefined && report.loopDelayMs < AT_EASE_MS;
}
