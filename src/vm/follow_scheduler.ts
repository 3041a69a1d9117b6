import { readError } from "../errors/read_error.ts";
import type { TableRow } from "../store/table_row.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { computeSuccessionRank } from "../decide/compute_succession_rank.ts";
import { computeFencingToken } from "./compute_fencing_token.ts";
import { createPeerList } from "./create_peer_list.ts";
import { createPause } from "./create_pause.ts";
import { createLinkSlot } from "./create_link_slot.ts";
import { decideTakeover } from "./decide_takeover.ts";
import type { EventLog } from "./event_log.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import { followSchedulerRow } from "./follow_scheduler_row.ts";
import type { KeptView } from "./kept_view.ts";
import type { LinkedVm } from "./linked_vm.ts";
import type { LinkEvents } from "./link_events.ts";
import type { OpenJobs } from "./open_jobs.ts";
import { openRemoteLink } from "./open_remote_link.ts";
import { readBeat } from "./read_beat.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import type { SchedulerLink } from "./scheduler_link.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import { takeSchedulerRow } from "./take_scheduler_row.ts";
import type { Ticker } from "./ticker.ts";
import type { VmPorts } from "./vm_ports.ts";
import type { VmReport } from "./vm_report.ts";
import type { VmSettings } from "./vm_settings.ts";

/** Pause between two attempts at a link or at taking over, in ms. */
const AGAIN_MS = 50;
/** How often a scheduler looks whether it has endpoints to take back, in ms. */
const HOST_LOOK_MS = 200;
/** How often a linked VM looks whether it still should be, in ms; what it hears of makes it look at once. */
const LOOK_MS = 1_000;
/** A VM that reaches no scheduler for this long serves its callers alone, in ms; a takeover is faster. */
const SOLO_MS = 700;
/** The same beside other groups while the store answers, in ms: the succession is faster, and a group's pool cut into shares serves few. */
const GROUPED_SOLO_MS = 2_500;
/** How often a VM looks whether it has to serve alone, in ms. */
const SOLO_LOOK_MS = 100;
/** Time between two raises of the epoch, in ms: the endpoints answer the first within it. */
const RAISE_MS = 700;
/** A scheduler counts as new for this long, in ms: until a process that has just started runs at its usual speed. */
const NEW_MS = 3_000;
/** A scheduler that lost this part of the endpoints to a later one gives up. */
const SUPERSEDED_SHARE = 0.5;

/** Keeps this VM linked to its group's scheduler, takes over when there is none, and serves alone when neither can be. */
export function followScheduler(options: {
  settings: VmSettings;
  incarnation: string;
  /** The group of this VM's data centre. */
  group: string;
  /** Whether other groups have schedulers of their own. */
  isGrouped: boolean;
  ports: VmPorts;
  ticker: Ticker;
  jobs: OpenJobs;
  log: EventLog;
  readReport: () => VmReport;
  startHost: (start: {
    epoch: number;
    token: number;
    /** The VMs known when this one began to serve alone; absent for the scheduler of all. */
    soloAmong?: LinkedVm[];
    hasKeptJobs: boolean;
    readRoleRevision: () => number;
    onSuperseded: (share: number) => void;
    vms: LinkedVm[];
  }) => SchedulerHost;
  /** Told of the scheduler's configuration version, which may be ahead of ours. */
  heardVersion: (version: number) => void;
  /** Told what the scheduler says of stored jobs. */
  kept: KeptView;
  /** Told of the holder of each group's role. */
  holderFound: (key: string, row: SchedulerRow) => void;
  /** Default: a gRPC stream to the other process. */
  openLink?: typeof openRemoteLink;
}): {
  findHost(): SchedulerHost | undefined;
  /** The holder of the role, as far as this VM knows. */
  findRow(): SchedulerRow | undefined;
  stop(): void;
} {
  const { settings, incarnation, ports, jobs, log, kept } = options;
  const openLink = options.openLink ?? openRemoteLink;
  const keys = formatRowKeys(options.group);
  const { name } = settings;
  let row: TableRow<SchedulerRow> | undefined;
  let host: SchedulerHost | undefined;
  let solo: SchedulerHost | undefined;
  const slot = createLinkSlot(jobs, log);
  /** Until a scheduler has said otherwise there may be stored jobs. */
  let hasKeptJobs = true;
  let isLeaving = false;
  let isAttaching = false;
  /** The attempt at a link that is being made. */
  let attempt = new AbortController();
  /** Counts the VMs asked for the holder, so that each gets its turn. */
  let asked = 0;
  /** The holder of the row as it is was linked to, or could not be. */
  let isRowTried = false;
  let vms: LinkedVm[] = [];
  /** Every VM heard of; it stays when it leaves this one's scheduler, as it then knows the next. */
  const peers = createPeerList();
  let lostHow: "closed" | "silent" = "closed";
  /** When this VM heard of the holder of the row. */
  let holderKnownMs = readMonotonicMs();
  let isAsked = false;
  let isReviewing = false;
  let raisedMs = 0;
  let storeOffsetMs = 0;
  let isStopped = false;

  const pause = createPause();

  const watcher = followSchedulerRow(ports.table, {
    log,
    changed: (found) => {
      options.holderFound(found.key, found.value);
      if (found.key === keys.scheduler) takeRow(found);
    },
  });

  function takeRow(next: TableRow<SchedulerRow>): void {
    if (row && next.revision <= row.revision) return;
    const isSameHolder = row?.value.incarnation === next.value.incarnation;
    row = next;
    // A new holder gets the same time as the old one before it is doubted.
    if (!isSameHolder) learnHolder();
    log("schedulerKnown", { vm: next.value.vm, epoch: next.value.epoch });
    pause.wake();
    if (isSameHolder) return;
    if (host && next.value.incarnation !== incarnation) endHost("superseded");
  }

  /** What was found out about the holder before does not hold for this one. */
  function learnHolder(): void {
    attempt.abort();
    isRowTried = false;
    lostHow = "silent";
    holderKnownMs = readMonotonicMs();
    slot.restartWait();
  }

  function endHost(reason: string): void {
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
        peers.take(vms, readMonotonicMs());
      }
      slot.setEpoch(status.epoch);
      kept.take(status);
      hasKeptJobs = status.hasKeptJobs;
      options.heardVersion(status.configurationVersion);
    },
    left: () => {
      if (isLeaving) return;
      slot.drop("left");
      pause.wake();
    },
    resignation: (reason) => {
      log("takeoverAsked", { reason });
      isAsked = true;
      pause.wake();
    },
  };

  const soloEvents: LinkEvents = {
    ...events,
    status: (status) =>
      events.status({ ...status, successors: undefined, hasKeptJobs }),
  };

  /** What the earlier scheduler has begun must be known before another gets the jobs. */
  async function closeOldLink(): Promise<void> {
    const link = slot.find();
    if (!link || solo) return;
    isLeaving = true;
    await link.leave();
    isLeaving = false;
    if (slot.find() === link) slot.drop("superseded");
  }

  function isSuperseded(): boolean {
    return row !== undefined && row.value.vm !== name &&
      row.value.epoch > slot.readEpoch() &&
      row.value.incarnation !== slot.readIncarnation();
  }

  function attachToHost(current: SchedulerHost): void {
    // A VM that serves alone has no order of succession to tell, and hears of no stored jobs.
    const heard = current === solo ? soloEvents : events;
    const attachment = current.attach(name, heard);
    attachment.report(options.readReport());
    slot.set({
      epoch: current.epoch,
      isSolo: current === solo,
      submit: attachment.submit,
      abandon: attachment.abandon,
      leave: () => Promise.resolve(attachment.leave()),
      close: () => attachment.lost("closed"),
    }, incarnation);
  }

  /** A peer knows a later holder than the store could tell this VM. */
  function takeRedirect(value: SchedulerRow): void {
    if (row && value.epoch <= row.value.epoch) return;
    const key = keys.scheduler;
    row = { key, value, revision: 0, updatedAtMs: 0 };
    learnHolder();
    pause.wake();
    log("schedulerKnown", { vm: value.vm, epoch: value.epoch, from: "peer" });
  }

  /** Tries the holder of the row and, when the store does not tell of a later one, another VM that may know it. */
  async function attach(value: SchedulerRow): Promise<void> {
    if (isAttaching) return;
    isAttaching = true;
    if (value.vm !== name) await attachToPeer(value);
    const others = peers.list()
      .filter((vm) => vm.name !== name && vm.name !== value.vm);
    if (!slot.find() && watcher.isLost() && others.length > 0) {
      const { address } = others[asked % others.length];
      asked += 1;
      await attachToPeer({ ...value, address });
    }
    isAttaching = false;
  }

  /** Whether this VM is still to be linked to that holder. */
  function isHolder(value: SchedulerRow): boolean {
    return row?.value.incarnation === value.incarnation && !host && !isStopped;
  }

  async function attachToPeer(value: SchedulerRow): Promise<void> {
    let opened: SchedulerLink | undefined;
    let isDead = false;
    let isTurnedAway = false;
    attempt = new AbortController();
    try {
      const next = await openLink({
        address: value.address,
        events,
        ticker: options.ticker,
        readReport: options.readReport,
        signal: attempt.signal,
        redirected: (to) => {
          isTurnedAway = true;
          takeRedirect(to);
        },
        lost: (how) => {
          isDead = true;
          if (slot.find() !== opened) return;
          lostHow = how;
          isRowTried = true;
          slot.drop(how);
          pause.wake();
        },
      });
      opened = next;
      if (isHolder(value)) await closeOldLink();
      if (isDead) return;
      // It may have become the scheduler itself while it heard the old one out.
      if (!isHolder(value)) {
        next.close();
        return;
      }
      endSolo();
      slot.set(next, value.incarnation);
    } catch (thrown) {
      const message = isTurnedAway ? "turnedAway" : readError(thrown).message;
      if (row?.value.incarnation === value.incarnation) {
        isRowTried = true;
        // Who turns links away lives, and may have taken the role a moment ago.
        lostHow = message === "closed" ? "closed" : "silent";
      }
      log("linkNotOpened", { vm: value.vm, epoch: value.epoch, message });
    }
  }

  async function canTakeOver(): Promise<boolean> {
    const beat = await readBeat(ports.table, keys.beat);
    storeOffsetMs = beat.storeOffsetMs;
    if (isAsked) return true;
    if (row?.value.vm === name) return true;
    const rank = computeSuccessionRank({
      successionIndex: vms.findIndex((vm) => vm.name === name),
      strength: settings.strength,
    });
    const seen = {
      how: lostHow,
      lostForMs: slot.computeLostMs(),
      beatAgeMs: beat.ageMs,
      rank,
      isVacant: row === undefined,
      isDraining: options.readReport().isDraining,
      isNew: readMonotonicMs() - holderKnownMs < NEW_MS,
    };
    const decision = decideTakeover(seen);
    log("takeoverWeighed", {
      epoch: row?.value.epoch,
      how: seen.how,
      rank: seen.rank,
      beatAgeMs: beat.ageMs && Math.round(beat.ageMs),
      decision,
    });
    return decision === "takeOver";
  }

  /** Writes this process as the holder of a new epoch; false when another was faster. */
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
    endSolo();
    await closeOldLink();
    // Another may have taken the role while this VM heard the old one out.
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
    attachToHost(host);
  }

  function readRoleRevision(): number {
    return row?.revision ?? 0;
  }

  /** Most endpoints obey another: either the row says who, or this VM is cut off from the store. */
  async function reviewSuperseded(): Promise<void> {
    if (isReviewing) return;
    isReviewing = true;
    await watcher.readNow();
    isReviewing = false;
    if (host && watcher.isLost()) endHost("superseded while cut off");
  }

  async function beginEpoch(): Promise<void> {
    if (!host || !row) return;
    raisedMs = readMonotonicMs();
    if (await writeRow()) host.beginEpoch(row.value.epoch);
  }

  function beginSolo(): void {
    if (solo || !row) return;
    // Also those not linked now: they may serve alone as well.
    const among = peers.list();
    const zone = among.filter((vm) => vm.dataCentre === settings.dataCentre)
      .map((vm) => vm.name);
    const place = 1 + [...new Set([...zone, name])].sort().indexOf(name);
    solo = options.startHost({
      epoch: row.value.epoch,
      token: computeFencingToken(row.value.epoch, place),
      soloAmong: among,
      onSuperseded: () => {},
      vms: [],
      hasKeptJobs,
      readRoleRevision,
    });
    attachToHost(solo);
  }

  function endSolo(): void {
    if (!solo) return;
    solo.stop();
    solo = undefined;
    slot.drop("soloEnded");
  }

  async function act(): Promise<void> {
    if (host) {
      const isDue = readMonotonicMs() - raisedMs > RAISE_MS;
      if (isDue && host.listReclaimableDataCentres().size > 0) {
        await beginEpoch();
      }
      return;
    }
    if (isAsked) {
      if (await canTakeOver()) await takeOver();
      isAsked = false;
      return;
    }
    const isLinked = slot.find() !== undefined;
    if (isLinked && !solo && !isSuperseded()) return;
    const isOther = row !== undefined && row.value.vm !== name;
    // Weighed while a link is being tried, which may take long. A former holder that the store turns away asks others.
    if (row && (isOther || watcher.isLost())) void attach(row.value);
    if (isOther && (slot.find() && !solo || !isRowTried)) return;
    if (await canTakeOver() && !isStopped && (!slot.find() || solo)) {
      await takeOver();
    }
  }

  function computePauseMs(): number {
    if (host) return HOST_LOOK_MS;
    return slot.find() && !solo ? LOOK_MS : AGAIN_MS;
  }

  async function run(): Promise<void> {
    await watcher.readNow();
    while (!isStopped) {
      try {
        await act();
      } catch (thrown) {
        log("takeoverFailed", { message: readError(thrown).message });
        isAsked = false;
      }
      await pause.wait(computePauseMs());
    }
  }
  run();

  function readSoloMs(): number {
    const isLeftToOthers = options.isGrouped && !watcher.isLost();
    return isLeftToOthers ? GROUPED_SOLO_MS : SOLO_MS;
  }

  /** Apart from the attempts at linking, as those wait for a store or a peer that may be silent. */
  const stopSoloLook = options.ticker.every(SOLO_LOOK_MS, () => {
    // Its share is not known before it was told who else may serve alone.
    if (!slot.hasEverBeenLinked()) return;
    const isLost = !slot.find() && slot.computeLostMs() > readSoloMs();
    if (isLost && !isStopped) beginSolo();
  });

  return {
    findHost: () => host,
    findRow: () => row?.value,
    stop: () => {
      isStopped = true;
      stopSoloLook();
      watcher.stop();
      host?.stop();
      solo?.stop();
      slot.find()?.close();
    },
  };
}
