import { readError } from "../errors/read_error.ts";
import type { EventLog } from "./event_log.ts";
import type { LinkEvents } from "./link_events.ts";
import type { LinkedVm } from "./linked_vm.ts";
import type { openRemoteLink } from "./open_remote_link.ts";
import type { SchedulerLink } from "./scheduler_link.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { Ticker } from "./ticker.ts";
import type { VmReport } from "./vm_report.ts";

/** Time-out for the first message of a role holder, in ms: a process that has just started, or taken the role, is slow. */
const OPEN_TIMEOUT_MS = 1_200;
/** Time-out for the first message while the store cannot be read, in ms: the VM asks several others in turn. */
const PEER_OPEN_TIMEOUT_MS = 400;

/** Creates the part of a VM that opens links to the role holder and, without the store, finds it through other VMs. */
export function createHolderLinker(options: {
  /** Name of this VM. */
  name: string;
  events: LinkEvents;
  ticker: Ticker;
  log: EventLog;
  openLink: typeof openRemoteLink;
  readReport: () => VmReport;
  /** Lists all VMs that this VM knows. */
  listPeers: () => LinkedVm[];
  /** The role holder, as far as this VM knows. */
  findHolder: () => SchedulerRow | undefined;
  isStoreLost: () => boolean;
  /** Whether this VM still needs a link: it is not linked to a scheduler of the group, is not the scheduler itself, and runs. */
  isLinkNeeded: () => boolean;
  /** Whether the process that `holder` names still has the role, as far as this VM knows, and this VM still needs a link to that process. */
  isStillHolder: (holder: SchedulerRow) => boolean;
  /** Called with the scheduler row of a process that is not the scheduler. */
  onRedirect: (to: SchedulerRow) => void;
  /** Called when the process that `holder` names has not opened a link in good time, or has refused to. */
  onFailed: (holder: SchedulerRow, how: "closed" | "silent") => void;
  /** Called when an open link is lost. */
  onLost: (link: SchedulerLink | undefined, how: "closed" | "silent") => void;
  /** Called before a new link is used. */
  leaveEarlierScheduler: () => Promise<void>;
  /** Called with the new link, to be used from now on. */
  onLinked: (link: SchedulerLink, holder: SchedulerRow) => void;
}): {
  /** Tries to link to the role holder and, while the store cannot be read, to the other VMs, which may know a later role holder. Does nothing during another attempt. */
  attach(holder: SchedulerRow): Promise<void>;
  /** Aborts the current attempt to open a link. */
  abort(): void;
} {
  const { name, log } = options;
  let isAttaching = false;
  let attempt = new AbortController();

  async function openTo(holder: SchedulerRow): Promise<void> {
    let opened: SchedulerLink | undefined;
    let isLinkLost = false;
    let isRedirected = false;
    attempt = new AbortController();
    try {
      const link = await options.openLink({
        address: holder.address,
        events: options.events,
        ticker: options.ticker,
        readReport: options.readReport,
        signal: attempt.signal,
        openTimeoutMs: options.isStoreLost()
          ? PEER_OPEN_TIMEOUT_MS
          : OPEN_TIMEOUT_MS,
        onSlow: () => options.onFailed(holder, "silent"),
        onRedirect: (to) => {
          isRedirected = true;
          options.onRedirect(to);
        },
        onLost: (how) => {
          isLinkLost = true;
          options.onLost(opened, how);
        },
      });
      opened = link;
      if (options.isStillHolder(holder)) await options.leaveEarlierScheduler();
      if (isLinkLost) return;
      // This VM may have become the scheduler itself while it was leaving the earlier scheduler.
      if (options.isStillHolder(holder)) options.onLinked(link, holder);
      else link.close();
    } catch (thrown) {
      const message = isRedirected ? "turnedAway" : readError(thrown).message;
      // A process that refuses the link with a redirect runs, and may have taken the role a moment ago.
      options.onFailed(holder, message === "closed" ? "closed" : "silent");
      log("linkNotOpened", { vm: holder.vm, epoch: holder.epoch, message });
    }
  }

  /** Finds a later role holder than `known`, if this VM has learned of one that is not itself. */
  function findLaterHolder(known: SchedulerRow): SchedulerRow | undefined {
    const holder = options.findHolder();
    const isLater = holder && holder.epoch > known.epoch;
    return isLater && holder.vm !== name ? holder : undefined;
  }

  /** Asks the other VMs in turn until one is the scheduler or names a later role holder than `known`, and links to that one. */
  async function askPeers(known: SchedulerRow): Promise<void> {
    for (const { name: vm, address } of options.listPeers()) {
      if (!options.isLinkNeeded() || findLaterHolder(known)) break;
      if (vm !== name && vm !== known.vm) await openTo({ ...known, address });
    }
    const later = findLaterHolder(known);
    if (later && options.isLinkNeeded()) await openTo(later);
  }

  return {
    attach: async (holder) => {
      if (isAttaching) return;
      isAttaching = true;
      if (holder.vm !== name) await openTo(holder);
      if (options.isStoreLost()) await askPeers(holder);
      isAttaching = false;
    },
    abort: () => attempt.abort(),
  };
}
