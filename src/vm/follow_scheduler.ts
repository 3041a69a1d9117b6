import { readError } from "../errors/read_error.ts";
import type { TableRow } from "../store/table_row.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { BeatRow } from "./beat_row.ts";
import { decideTakeover } from "./decide_takeover.ts";
import type { EventLog } from "./event_log.ts";
import type { OpenJobs } from "./open_jobs.ts";
import { openRemoteLink } from "./open_remote_link.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import type { SchedulerLink } from "./scheduler_link.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { VmPorts } from "./vm_ports.ts";
import type { VmReport } from "./vm_report.ts";
import type { VmSettings } from "./vm_settings.ts";
import { followSchedulerRow } from "./follow_scheduler_row.ts";

/** Pause between two attempts at a link or at taking over, in ms. */
const AGAIN_MS = 50;

/** Keeps this VM linked to the scheduler, and takes over when there is none. */
export function followScheduler(options: {
  settings: VmSettings;
  incarnation: string;
  ports: VmPorts;
  jobs: OpenJobs;
  log: EventLog;
  readReport: () => VmReport;
  startHost: (epoch: number) => SchedulerHost;
  /** Told of the scheduler's configuration version, which may be ahead of ours. */
  heardVersion: (version: number) => void;
}): {
  findHost(): SchedulerHost | undefined;
  /** Asks for the scheduler's row to be read now. */
  doubt(): void;
  stop(): void;
} {
  const { settings, incarnation, ports, jobs, log } = options;
  const name = settings.name;
  let row: TableRow<SchedulerRow> | undefined;
  let host: SchedulerHost | undefined;
  let link: SchedulerLink | undefined;
  let successors: string[] = [];
  let lostMs = readMonotonicMs();
  let lostHow: "closed" | "silent" = "closed";
  let isAsked = false;
  let isStopped = false;
  let linkedEpoch = 0;

  const watcher = followSchedulerRow(ports.table, { log, changed: takeRow });

  function takeRow(next: TableRow<SchedulerRow> | undefined): void {
    if (next && row && next.revision <= row.revision) return;
    row = next;
    if (!next) return;
    log("schedulerKnown", { vm: next.value.vm, epoch: next.value.epoch });
    if (host && next.value.epoch > host.epoch) endHost("superseded");
    const isOther = link && next.value.epoch > linkedEpoch;
    if (isOther) dropLink("superseded");
  }

  function endHost(reason: string): void {
    log("schedulerStopping", { epoch: host?.epoch, reason });
    host?.stop();
    host = undefined;
    dropLink(reason);
  }

  function dropLink(reason: string): void {
    if (!link) return;
    log("linkDropped", { epoch: linkedEpoch, reason });
    link.close();
    link = undefined;
    linkedEpoch = 0;
    lostMs = readMonotonicMs();
    jobs.setLink(undefined);
  }

  function setLink(next: SchedulerLink): void {
    link = next;
    linkedEpoch = next.epoch;
    log("linked", { epoch: next.epoch, jobs: jobs.count() });
    jobs.setLink(next);
  }

  function loseLink(how: "closed" | "silent"): void {
    lostHow = how;
    dropLink(how);
  }

  const events = {
    ...jobs.events,
    status: (
      status: { successors: string[]; configurationVersion: number },
    ) => {
      successors = status.successors;
      options.heardVersion(status.configurationVersion);
    },
    resignation: (reason: string) => {
      log("takeoverAsked", { reason });
      isAsked = true;
      if (link) dropLink("resignation");
    },
  };

  function attachToHost(current: SchedulerHost): void {
    const attachment = current.attach(name, events);
    attachment.report(options.readReport());
    setLink({
      epoch: current.epoch,
      submit: attachment.submit,
      abandon: attachment.abandon,
      close: () => attachment.lost("closed"),
    });
  }

  async function attachToPeer(value: SchedulerRow): Promise<void> {
    try {
      const next = await openRemoteLink({
        address: value.address,
        events,
        readReport: options.readReport,
        lost: loseLink,
      });
      const isCurrent = row?.value.epoch === next.epoch && !host;
      if (isCurrent && !isStopped) setLink(next);
      else next.close();
    } catch (thrown) {
      const message = readError(thrown).message;
      lostHow = message === "closed" ? "closed" : "silent";
      log("linkNotOpened", { vm: value.vm, epoch: value.epoch, message });
    }
  }

  async function canTakeOver(): Promise<boolean> {
    if (isAsked) return true;
    if (!row) return true;
    if (row.value.vm === name) return row.value.incarnation !== incarnation;
    const scan = await ports.table.scan(ROW_KEYS.beat, 0);
    const beat = scan.rows[0]?.value as BeatRow | undefined;
    const rank = successors.indexOf(name);
    const decision = decideTakeover({
      how: lostHow,
      lostForMs: readMonotonicMs() - lostMs,
      beatAgeMs: beat ? scan.atMs - beat.storeMs : undefined,
      rank: rank >= 0 ? rank : successors.length,
      isDraining: options.readReport().isDraining,
    });
    log("takeoverWeighed", {
      epoch: row.value.epoch,
      how: lostHow,
      rank,
      beatAgeMs: beat ? Math.round(scan.atMs - beat.storeMs) : undefined,
      decision,
    });
    return decision === "takeOver";
  }

  async function takeOver(): Promise<void> {
    const epoch = (row?.value.epoch ?? 0) + 1;
    const value: SchedulerRow = {
      vm: name,
      incarnation,
      address: settings.peerAddress,
      epoch,
    };
    const key = ROW_KEYS.scheduler;
    const result = await ports.table.transact([
      row
        ? { type: "replace", key, value, revision: row.revision }
        : { type: "insert", key, value },
    ]);
    isAsked = false;
    if (result.type === "conflict") {
      await watcher.readNow();
      return;
    }
    row = { key, value, revision: result.revision, updatedAtMs: result.atMs };
    host = options.startHost(epoch);
    attachToHost(host);
  }

  async function run(): Promise<void> {
    await watcher.readNow();
    while (!isStopped) {
      if (link) {
        await waitMs(AGAIN_MS / 2);
        continue;
      }
      try {
        const isOurs = row?.value.incarnation === incarnation;
        if (row && !isOurs && row.value.vm !== name && !isAsked) {
          await attachToPeer(row.value);
          if (link) continue;
        }
        if (!link && !host && await canTakeOver() && !isStopped) {
          await takeOver();
        }
      } catch (thrown) {
        log("takeoverFailed", { message: readError(thrown).message });
        isAsked = false;
        await watcher.readNow();
      }
      if (!link) await waitMs(AGAIN_MS);
    }
  }
  run();

  return {
    findHost: () => host,
    doubt: () => void watcher.readNow(),
    stop: () => {
      isStopped = true;
      watcher.stop();
      host?.stop();
      link?.close();
    },
  };
}
