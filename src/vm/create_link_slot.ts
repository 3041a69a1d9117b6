import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "./event_log.ts";
import type { LinkSlot } from "./link_slot.ts";
import type { OpenJobs } from "./open_jobs.ts";
import type { SchedulerLink } from "./scheduler_link.ts";

/** Creates the place of a VM's link, which hands the open jobs to whoever is linked. */
export function createLinkSlot(
  jobs: Pick<OpenJobs, "setLink" | "count">,
  log: EventLog,
): LinkSlot {
  let link: SchedulerLink | undefined;
  let epoch = 0;
  let incarnation = "";
  let lostMs = readMonotonicMs();
  let wasLinked = false;

  return {
    find: () => link,
    readEpoch: () => epoch,
    readIncarnation: () => incarnation,
    computeLostMs: () => link ? 0 : readMonotonicMs() - lostMs,
    hasEverBeenLinked: () => wasLinked,
    set: (next, incarnationOf) => {
      link = next;
      incarnation = incarnationOf;
      epoch = next.epoch;
      wasLinked = true;
      log("linked", { epoch, jobs: jobs.count() });
      jobs.setLink(next);
    },
    setEpoch: (later) => {
      if (link) epoch = later;
    },
    drop: (reason) => {
      if (!link) return;
      log("linkDropped", { epoch, reason });
      link.close();
      link = undefined;
      epoch = 0;
      lostMs = readMonotonicMs();
      jobs.setLink(undefined);
    },
    restartWait: () => {
      if (!link) lostMs = readMonotonicMs();
    },
  };
}
