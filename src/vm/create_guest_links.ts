import { readError } from "../errors/read_error.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "./event_log.ts";
import type { LinkEvents } from "./link_events.ts";
import type { OpenJobs } from "./open_jobs.ts";
import { openRemoteLink } from "./open_remote_link.ts";
import type { SchedulerLink } from "./scheduler_link.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { Ticker } from "./ticker.ts";
import type { VmReport } from "./vm_report.ts";

/** Interval at which the links are reviewed, in ms. */
const POLL_INTERVAL_MS = 100;
/** Time-out for a scheduler's first message, in ms: meanwhile the passed jobs wait. */
const OPEN_TIMEOUT_MS = 400;
/** A link without jobs is closed after this time, in ms; it stays open for a while because bursts of passed jobs recur. */
const IDLE_TIMEOUT_MS = 5_000;

type GuestLink = {
  row: SchedulerRow;
  /** Absent while the link is being opened. */
  link?: SchedulerLink;
  attempt: AbortController;
  lastUsedMs: number;
  isLeaving: boolean;
};

/** Creates the guest links of a VM: links to other groups' schedulers, open while jobs of this VM's callers were passed to them. */
export function createGuestLinks(options: {
  jobs: Pick<OpenJobs, "setLink" | "listGuestGroups" | "events">;
  /** The role holder of another group, as far as this VM knows. */
  findRow: (group: string) => SchedulerRow | undefined;
  readReport: () => VmReport;
  ticker: Ticker;
  log: EventLog;
  /** Default: a gRPC stream to the other process. */
  openLink?: typeof openRemoteLink;
}): {
  /** Opens the link to a group's scheduler unless it is open or being opened. */
  request(group: string): void;
  stop(): void;
} {
  const { jobs, findRow, log } = options;
  const openLink = options.openLink ?? openRemoteLink;
  const guests = new Map<string, GuestLink>();
  /** Set while there is a guest link or a passed job. */
  let timer: ReturnType<typeof setInterval> | undefined;

  function drop(group: string, guest: GuestLink, reason: string): void {
    if (guests.get(group) !== guest) return;
    guests.delete(group);
    guest.attempt.abort();
    guest.link?.close();
    jobs.setLink(undefined, group);
    log("guestLinkDropped", { group, reason });
  }

  function createEvents(group: string, guest: GuestLink): LinkEvents {
    return {
      ...jobs.events,
      status: () => {},
      left: () => drop(group, guest, "left"),
      resignation: () => {},
    };
  }

  async function openTo(group: string, row: SchedulerRow): Promise<void> {
    const attempt = new AbortController();
    const guest: GuestLink = {
      row,
      attempt,
      lastUsedMs: readMonotonicMs(),
      isLeaving: false,
    };
    guests.set(group, guest);
    try {
      const link = await openLink({
        address: row.address,
        events: createEvents(group, guest),
        ticker: options.ticker,
        readReport: () => ({ ...options.readReport(), isGuest: true }),
        isGuest: true,
        openTimeoutMs: OPEN_TIMEOUT_MS,
        onSlow: () => {},
        signal: attempt.signal,
        onRedirect: () => {},
        onLost: (how) => drop(group, guest, how),
      });
      if (guests.get(group) !== guest) {
        link.close();
        return;
      }
      guest.link = link;
      log("guestLinked", { group, vm: row.vm, epoch: link.epoch });
      jobs.setLink(link, group);
    } catch (thrown) {
      const { message } = readError(thrown);
      log("linkNotOpened", { vm: row.vm, epoch: row.epoch, message });
      drop(group, guest, "notOpened");
    }
  }

  function open(group: string): void {
    const row = findRow(group);
    if (row && !guests.has(group)) void openTo(group, row);
  }

  /** Leaves the group's scheduler; waits for its remaining messages first, so that its placements are known before a later scheduler gets the jobs. */
  async function leave(
    group: string,
    guest: GuestLink,
    reason: string,
  ): Promise<void> {
    if (guest.isLeaving) return;
    guest.isLeaving = true;
    await guest.link?.leave();
    drop(group, guest, reason);
  }

  function review(): void {
    const nowMs = readMonotonicMs();
    const usedGroups = jobs.listGuestGroups();
    for (const [group, guest] of guests) {
      if (usedGroups.has(group)) guest.lastUsedMs = nowMs;
      const isSuperseded =
        findRow(group)?.incarnation !== guest.row.incarnation;
      const isIdle = nowMs - guest.lastUsedMs > IDLE_TIMEOUT_MS;
      if (isSuperseded) void leave(group, guest, "superseded");
      else if (isIdle) void leave(group, guest, "idle");
    }
    for (const group of usedGroups) open(group);
    if (guests.size > 0 || usedGroups.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  return {
    request: (group) => {
      open(group);
      timer ??= setInterval(review, POLL_INTERVAL_MS);
    },
    stop: () => {
      clearInterval(timer);
      for (const [group, guest] of guests) drop(group, guest, "stopped");
    },
  };
}
