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

/** How often the links are looked after, in ms. */
const LOOK_MS = 100;
/** A link without jobs is closed after this, in ms: bursts come again. */
const IDLE_MS = 5_000;

type Guest = {
  row: SchedulerRow;
  /** Absent while it is being opened. */
  link?: SchedulerLink;
  attempt: AbortController;
  usedMs: number;
  isLeaving: boolean;
};

/** Keeps links to other groups' schedulers while they have jobs of callers here. */
export function createGuestLinks(options: {
  jobs: Pick<OpenJobs, "setLink" | "listGuestGroups" | "events">;
  /** The holder of another group's role, as far as this VM knows. */
  findRow: (group: string) => SchedulerRow | undefined;
  readReport: () => VmReport;
  ticker: Ticker;
  log: EventLog;
  /** Default: a gRPC stream to the other process. */
  openLink?: typeof openRemoteLink;
}): {
  /** Opens the link to a group's scheduler unless it is open. */
  request(group: string): void;
  stop(): void;
} {
  const { jobs, findRow, log } = options;
  const openLink = options.openLink ?? openRemoteLink;
  const guests = new Map<string, Guest>();
  /** Runs while there is a link or a job to look after. */
  let timer: ReturnType<typeof setInterval> | undefined;

  function drop(group: string, guest: Guest, reason: string): void {
    if (guests.get(group) !== guest) return;
    guests.delete(group);
    guest.attempt.abort();
    guest.link?.close();
    jobs.setLink(undefined, group);
    log("guestLinkDropped", { group, reason });
  }

  function createEvents(group: string, guest: Guest): LinkEvents {
    return {
      ...jobs.events,
      status: () => {},
      left: () => drop(group, guest, "left"),
      resignation: () => {},
    };
  }

  async function openTo(group: string, row: SchedulerRow): Promise<void> {
    const attempt = new AbortController();
    const guest: Guest = {
      row,
      attempt,
      usedMs: readMonotonicMs(),
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
        signal: attempt.signal,
        redirected: () => {},
        lost: (how) => drop(group, guest, how),
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

  /** What the earlier scheduler has begun must be heard before another gets the jobs. */
  async function leave(
    group: string,
    guest: Guest,
    reason: string,
  ): Promise<void> {
    if (guest.isLeaving) return;
    guest.isLeaving = true;
    await guest.link?.leave();
    drop(group, guest, reason);
  }

  function look(): void {
    const nowMs = readMonotonicMs();
    const used = jobs.listGuestGroups();
    for (const [group, guest] of guests) {
      if (used.has(group)) guest.usedMs = nowMs;
      const isSuperseded =
        findRow(group)?.incarnation !== guest.row.incarnation;
      const isIdle = nowMs - guest.usedMs > IDLE_MS;
      if (isSuperseded) void leave(group, guest, "superseded");
      else if (isIdle) void leave(group, guest, "idle");
    }
    for (const group of used) open(group);
    if (guests.size > 0 || used.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  return {
    request: (group) => {
      open(group);
      timer ??= setInterval(look, LOOK_MS);
    },
    stop: () => {
      clearInterval(timer);
      for (const [group, guest] of guests) drop(group, guest, "stopped");
    },
  };
}
