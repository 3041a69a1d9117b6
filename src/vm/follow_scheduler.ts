import { readError } from "../errors/read_error.ts";
import type { TableRow } from "../store/table_row.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { computeSuccessionRank } from "../decide/compute_succession_rank.ts";
import { computeFencingToken } from "./compute_fencing_token.ts";
import { createPeerList } from "./create_peer_list.ts";
import { createHolderLinker } from "./create_holder_linker.ts";
import { createInterruptibleDelay } from "./create_interruptible_delay.ts";
import { createLinkSlot } from "./create_link_slot.ts";
import { decideTakeover } from "./decide_takeover.ts";
import type { EventLog } from "./event_log.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import { watchSchedulerRows } from "./watch_scheduler_rows.ts";
import type { StoredJobsView } from "./stored_jobs_view.ts";
import type { LinkedVm } from "./linked_vm.ts";
import type { LinkEvents } from "./link_events.ts";
import type { OpenJobs } from "./open_jobs.ts";
import { openRemoteLink } from "./open_remote_link.ts";
import { readHeartbeat } from "./read_heartbeat.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import type { SchedulerStatus } from "./scheduler_status.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import { takeSchedulerRow } from "./take_scheduler_row.ts";
import type { Ticker } from "./ticker.ts";
import type { VmPorts } from "./vm_ports.ts";
import type { VmReport } from "./vm_report.ts";
import type { VmSettings } from "./vm_settings.ts";

/** Pause between two attempts to link or to take over, in ms. */
const RETRY_DELAY_MS = 50;
/** Interval at which a scheduler checks whether it can reclaim endpoints, in ms. */
const SCHEDULER_POLL_INTERVAL_MS = 200;
/** Interval at which a linked VM reviews its link, in ms; a change of the scheduler row or of the link triggers a review at once. */
const LINKED_POLL_INTERVAL_MS = 1_000;
/** A VM that reaches no scheduler for this long enters solo mode, in ms; a takeover takes less time. */
const SOLO_DELAY_MS = 700;
/** Where other groups exist and the store answers, a VM that reaches no scheduler for this long enters solo mode, in ms. A takeover takes less time, and a group's endpoints divided into shares serve few callers. */
const GROUPED_SOLO_DELAY_MS = 2_500;
/** Interval at which a VM checks whether to enter solo mode, in ms. */
const SOLO_POLL_INTERVAL_MS = 100;
/** Minimum time between two raises of the epoch, in ms: within it the endpoints answer a scheduler that has raised its epoch. */
const EPOCH_RAISE_INTERVAL_MS = 700;
/** A role holder counts as new for this long, in ms: until a process that has just started runs at its usual speed. */
const NEW_HOLDER_MS = 3_000;
/** A scheduler that cannot reach the store stops when later schedulers have taken over this share of the endpoints, 0 to 1. */
const SUPERSEDED_SHARE = 0.5;

/**
 * Keeps this VM linked to its group's scheduler. Takes over when the group has
 * no scheduler, and enters solo mode while the VM reaches no scheduler and
 * cannot take over.
 */
export function followScheduler(options: {
  settings: VmSettings;
  /** Identifies this run of the process. */
  incarnation: string;
  /** The group of this VM's data centre. */
  group: string;
  /** Whether other groups have schedulers of their own. */
  hasOtherGroups: boolean;
  ports: VmPorts;
  ticker: Ticker;
  jobs: OpenJobs;
  log: EventLog;
  readReport: () => VmReport;
  /** Starts a scheduler in this process, for the group or for solo mode. */
  startHost: (start: {
    epoch: number;
    /** Fencing token. */
    token: number;
    /** For solo mode only: all VMs known when it starts, among which the endpoints are shared. */
    soloPeers?: LinkedVm[];
    /** Whether there may be stored jobs, as the last scheduler reported. */
    hasKeptJobs: boolean;
    /** Reads the revision of the scheduler row as last read or written. */
    readRoleRevision: () => number;
    /** Called when endpoints or VMs obey a later scheduler, with their share, 0 to 1. */
    onSuperseded: (share: number) => void;
    /** The other VMs of the group, as last listed. */
    vms: LinkedVm[];
  }) => SchedulerHost;
  /** Called with the scheduler's configuration version, which may be later than this VM's. */
  onVersionSeen: (version: number) => void;
  /** Called with the scheduler's list of evacuated data centres. Default: it is ignored. */
  onEvacuationsSeen?: (received: SchedulerStatus["evacuations"]) => void;
  /** Updated with the scheduler's figures on stored jobs. */
  storedJobsView: StoredJobsView;
  /** Called with the key and value of each group's scheduler row, which names the role holder. */
  onHolderFound: (key: string, row: SchedulerRow) => void;
  /** Default: a gRPC stream to the other process. */
  openLink?: typeof openRemoteLink;
}): {
  /** The scheduler of the group, while it runs in this process. */
  findHost(): SchedulerHost | undefined;
  /** The role holder of this VM's group, as far as this VM knows. */
  findRow(): SchedulerRow | undefined;
  /** Stops the scheduler that runs in this process; this VM takes the role again, under a later epoch, unless another VM does. */
  restartScheduler(reason: string): void;
  stop(): void;
} {
  const { settings, incarnation, ports, jobs, log, storedJobsView } = options;
  const keys = formatRowKeys(options.group);
  const { name } = settings;
  let row: TableRow<SchedulerRow> | undefined;
  let host: SchedulerHost | undefined;
  let solo: SchedulerHost | undefined;
  const slot = createLinkSlot(jobs, log);
  /** Whether there may be stored jobs; true until a scheduler reports that there are none. */
  let hasKeptJobs = true;
  let isLeavingScheduler = false;
  /** Whether this VM has been linked to the current role holder, or has failed to link to it. */
  let isHolderTried = false;
  /** Succession order, as the scheduler last sent it. */
  let vms: LinkedVm[] = [];
  /** All known VMs, also those that are no longer linked to this VM's scheduler: they may know a later one. */
  const peers = createPeerList();
  let lostHow: "closed" | "silent" = "closed";
  /** When this VM learned of the current role holder, in ms. */
  let holderKnownMs = readMonotonicMs();
  let isTakeoverRequested = false;
  let isReviewing = false;
  let epochRaisedMs = 0;
  let storeOffsetMs = 0;
  let isStopped = false;

  const delay = createInterruptibleDelay();

  const watcher = watchSchedulerRows(ports.table, {
    log,
    onChange: (found) => {
      options.onHolderFound(found.key, found.value);
      if (found.key === keys.scheduler) applyRow(found);
    },
  });

  function applyRow(next: TableRow<SchedulerRow>): void {
    if (row && next.revision <= row.revision) return;
    const isSameHolder = row?.value.incarnation === next.value.incarnation;
    row = next;
    // The time without a link starts at 0 again, so that a new role holder has the full time to accept links.
    if (!isSameHolder) beginWithNewHolder();
    log("schedulerKnown", { vm: next.value.vm, epoch: next.value.epoch });
    delay.wake();
    if (isSameHolder) return;
    if (host && next.value.incarnation !== incarnation) {
      stopScheduler("superseded");
    }
  }

  /** Discards the findings on the earlier role holder, which do not apply to the current one. */
  function beginWithNewHolder(): void {
    linker.abort();
    isHolderTried = false;
    lostHow = "silent";
    holderKnownMs = readMonotonicMs();
    slot.restartUnlinkedTime();
  }

  function stopScheduler(reason: string): void {
    log("schedulerStopping", { epoch: host?.epoch, reason });
    host?.stop();
    host = undefined;
    slot.drop(reason);
  }

  const events: LinkEvents = {
    ...jobs.events,
    status: (status) => {
      if (status.successors) {
        vms = status.successors;
        peers.update(vms, readMonotonicMs());
      }
      slot.setEpoch(status.epoch);
      storedJobsView.update(status);
      hasKeptJobs = status.hasKeptJobs;
      options.onVersionSeen(status.configurationVersion);
      options.onEvacuationsSeen?.(status.evacuations);
    },
    left: () => {
      if (isLeavingScheduler) return;
      slot.drop("left");
      delay.wake();
    },
    resignation: (reason) => {
      log("takeoverAsked", { reason });
      isTakeoverRequested = true;
      delay.wake();
    },
  };

  const soloEvents: LinkEvents = {
    ...events,
    status: (status) =>
      events.status({ ...status, successors: undefined, hasKeptJobs }),
  };

  /** Leaves the earlier scheduler, if linked to it; waits for its remaining messages, so that its placements are known before a later scheduler gets the jobs. */
  async function leaveEarlierScheduler(): Promise<void> {
    const link = slot.find();
    if (!link || solo) return;
    isLeavingScheduler = true;
    await link.leave();
    isLeavingScheduler = false;
    if (slot.find() === link) slot.drop("superseded");
  }

  function isLinkSuperseded(): boolean {
    return row !== undefined && row.value.vm !== name &&
      row.value.epoch > slot.readEpoch() &&
      row.value.incarnation !== slot.readIncarnation();
  }

  function attachToOwnHost(current: SchedulerHost): void {
    // A scheduler in solo mode knows neither the succession order nor the stored jobs.
    const linkEvents = current === solo ? soloEvents : events;
    const attachment = current.attach(name, linkEvents);
    attachment.report(options.readReport());
    slot.set({
      epoch: current.epoch,
      isSolo: current === solo,
      submit: attachment.submit,
      abandon: attachment.abandon,
      leave: () => Promise.resolve(attachment.leave()),
      close: () => attachment.handleLost("closed"),
    }, incarnation);
  }

  /** Applies a scheduler row received from a peer, which may be later than the one this VM could read from the store. */
  function applyRedirect(value: SchedulerRow): void {
    if (row && value.epoch <= row.value.epoch) return;
    const key = keys.scheduler;
    row = { key, value, revision: 0, updatedAtMs: 0 };
    beginWithNewHolder();
    delay.wake();
    log("schedulerKnown", { vm: value.vm, epoch: value.epoch, from: "peer" });
  }

  /** Whether this VM has a link to its group's scheduler, rather than to its own in solo mode. */
  function isLinkedToGroup(): boolean {
    return slot.find() !== undefined && !solo;
  }

  /** Whether this VM is cut off from the store, as far as it knows. */
  function isStoreLost(): boolean {
    return watcher.isLost() || !options.readReport().isStoreReachable;
  }

  const linker = createHolderLinker({
    name,
    events,
    ticker: options.ticker,
    log,
    openLink: options.openLink ?? openRemoteLink,
    readReport: options.readReport,
    listPeers: peers.list,
    findHolder: () => row?.value,
    isStoreLost,
    isLinkNeeded: () => !isStopped && !host && !isLinkedToGroup(),
    isStillHolder: (holder) =>
      row?.value.incarnation === holder.incarnation && !host && !isStopped,
    onRedirect: applyRedirect,
    onFailed: (holder, how) => {
      if (row?.value.incarnation !== holder.incarnation) return;
      isHolderTried = true;
      lostHow = how;
    },
    onLost: (link, how) => {
      if (slot.find() !== link) return;
      lostHow = how;
      isHolderTried = true;
      slot.drop(how);
      delay.wake();
    },
    leaveEarlierScheduler,
    onLinked: (link, holder) => {
      stopSolo();
      slot.set(link, holder.incarnation);
    },
  });

  async function canTakeOver(): Promise<boolean> {
    const heartbeat = await readHeartbeat(ports.table, keys.heartbeat);
    storeOffsetMs = heartbeat.storeOffsetMs;
    if (isTakeoverRequested) return true;
    if (row?.value.vm === name) return true;
    const rank = computeSuccessionRank({
      successionIndex: vms.findIndex((vm) => vm.name === name),
      strength: settings.strength,
    });
    const { isDraining, slowedMs } = options.readReport();
    const seen = {
      how: lostHow,
      lostForMs: slot.computeUnlinkedMs(),
      beatAgeMs: heartbeat.ageMs,
      rank,
      isVacant: row === undefined,
      isDraining,
      isSlowed: slowedMs > 0,
      isNew: readMonotonicMs() - holderKnownMs < NEW_HOLDER_MS,
    };
    const decision = decideTakeover(seen);
    log("takeoverWeighed", {
      epoch: row?.value.epoch,
      how: seen.how,
      rank: seen.rank,
      beatAgeMs: heartbeat.ageMs && Math.round(heartbeat.ageMs),
      decision,
    });
    return decision === "takeOver";
  }

  /** Writes this process as the role holder of a new epoch; false when another process has written the row first. */
  async function writeRow(): Promise<boolean> {
    const written = await takeSchedulerRow(ports.table, {
      holder: { vm: name, incarnation, address: settings.peerAddress },
      row,
      keys,
      storeMs: readMonotonicMs() + storeOffsetMs,
    });
    if (written) row = written;
    else await watcher.readNow();
    return written !== undefined;
  }

  async function takeOver(): Promise<void> {
    if (!await writeRow() || !row) return;
    const { epoch } = row.value;
    stopSolo();
    await leaveEarlierScheduler();
    // Another VM may have taken the role while this one was leaving the earlier scheduler.
    if (isStopped || row.value.incarnation !== incarnation) return;
    host = options.startHost({
      epoch,
      token: computeFencingToken(epoch, 0),
      onSuperseded: (share) => {
        if (share >= SUPERSEDED_SHARE && host) reviewSuperseded();
      },
      vms: vms.filter((vm) => vm.name !== name),
      hasKeptJobs,
      readRoleRevision,
    });
    attachToOwnHost(host);
  }

  function readRoleRevision(): number {
    return row?.revision ?? 0;
  }

  /** Called when most endpoints obey a later scheduler: either the scheduler row names that scheduler, or this VM is cut off from the store and stops its own scheduler. */
  async function reviewSuperseded(): Promise<void> {
    if (isReviewing) return;
    isReviewing = true;
    if (!isStoreLost()) await watcher.readNow();
    isReviewing = false;
    if (!host || !isStoreLost()) return;
    stopScheduler("superseded while cut off");
    delay.wake();
  }

  async function beginEpoch(): Promise<void> {
    if (!host || !row) return;
    epochRaisedMs = readMonotonicMs();
    if (await writeRow()) host.beginEpoch(row.value.epoch);
  }

  function startSolo(): void {
    if (solo || !row) return;
    // VMs that are not linked now count as well, as they may also be in solo mode.
    const soloPeers = peers.list();
    const sameDataCentreNames = soloPeers.filter((vm) =>
      vm.dataCentre === settings.dataCentre
    )
      .map((vm) => vm.name);
    const tokenIndex = 1 +
      [...new Set([...sameDataCentreNames, name])].sort().indexOf(name);
    solo = options.startHost({
      epoch: row.value.epoch,
      token: computeFencingToken(row.value.epoch, tokenIndex),
      soloPeers,
      onSuperseded: () => {},
      vms: [],
      hasKeptJobs,
      readRoleRevision,
    });
    attachToOwnHost(solo);
  }

  function stopSolo(): void {
    if (!solo) return;
    solo.stop();
    solo = undefined;
    slot.drop("soloEnded");
  }

  async function updateRole(): Promise<void> {
    if (host) {
      const isDue = readMonotonicMs() - epochRaisedMs > EPOCH_RAISE_INTERVAL_MS;
      if (isDue && host.listReclaimableDataCentres().size > 0) {
        await beginEpoch();
      }
      return;
    }
    if (isTakeoverRequested) {
      if (await canTakeOver()) await takeOver();
      isTakeoverRequested = false;
      return;
    }
    const isLinked = slot.find() !== undefined;
    if (isLinked && !solo && !isLinkSuperseded()) return;
    const isOther = row !== undefined && row.value.vm !== name;
    // The takeover is considered while the attempt to link still runs, as the attempt may take long.
    // A VM that is itself the last role holder it knows of and cannot read the store tries to link to other VMs, which may know a later role holder.
    if (row && (isOther || isStoreLost())) void linker.attach(row.value);
    if (isOther && (slot.find() && !solo || !isHolderTried)) return;
    if (await canTakeOver() && !isStopped && (!slot.find() || solo)) {
      await takeOver();
    }
  }

  function computeDelayMs(): number {
    if (host) return SCHEDULER_POLL_INTERVAL_MS;
    return slot.find() && !solo ? LINKED_POLL_INTERVAL_MS : RETRY_DELAY_MS;
  }

  async function run(): Promise<void> {
    await watcher.readNow();
    while (!isStopped) {
      try {
        await updateRole();
      } catch (thrown) {
        log("takeoverFailed", { message: readError(thrown).message });
        isTakeoverRequested = false;
      }
      await delay.wait(computeDelayMs());
    }
  }
  run();

  function computeSoloDelayMs(): number {
    const isTakeoverExpected = options.hasOtherGroups && !watcher.isLost();
    return isTakeoverExpected ? GROUPED_SOLO_DELAY_MS : SOLO_DELAY_MS;
  }

  /** A separate poll, because `run` may wait for a store or a peer that is unresponsive. */
  const stopSoloPoll = options.ticker.every(SOLO_POLL_INTERVAL_MS, () => {
    // Before the first link this VM does not know which other VMs may be in solo mode, so its share of the endpoints is unknown.
    if (!slot.hasEverBeenLinked()) return;
    const isLost = !slot.find() &&
      slot.computeUnlinkedMs() > computeSoloDelayMs();
    if (isLost && !isStopped) startSolo();
  });

  return {
    findHost: () => host,
    findRow: () => row?.value,
    restartScheduler: (reason) => {
      if (!host) return;
      stopScheduler(reason);
      delay.wake();
    },
    stop: () => {
      isStopped = true;
      stopSoloPoll();
      watcher.stop();
      host?.stop();
      solo?.stop();
      slot.find()?.close();
    },
  };
}
