import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "./event_log.ts";
import type { LinkSlot } from "./link_slot.ts";
import type { OpenJobs } from "./open_jobs.ts";
import type { SchedulerLink } from "./scheduler_link.ts";

/** Creates the slot for a VM's link to its group's scheduler; a new link gets the VM's open jobs. */
export function createLinkSlot(
  jobs: Pick<OpenJobs, "setLink" | "count">,
  log: EventLog,
): LinkSlot {
  let link: SchedulerLink | undefined;
  let epoch = 0;
  let incarnation = "";
  let unlinkedSinceMs = readMonotonicMs();
  let wasLinked = false;

  return {
    find: () => link,
    readEpoch: () => epoch,
    readIncarnation: () => incarnation,
    computeUnlinkedMs: () => link ? 0 : readMonotonicMs() - unlinkedSinceMs,
    hasEverBeenLinked: () => wasLinked,
    set: (next, nextIncarnation) => {
      link = next;
      incarnation = nextIncarnation;
      epoch = next.epoch;
      wasLinked = true;
      log("linked", { epoch, jobs: jobs.count() });
      jobs.setLink(next);
    },
    setEpoch: (laterEpoch) => {
      if (link) epoch = laterEpoch;
    },
    drop: (reason) => {
      if (!link) return;
      log("linkDropped", { epoch, reason });
      link.close();
      link = undefined;
      epoch = 0;
      unlinkedSinceMs = readMonotonicMs();
      jobs.setLink(undefined);
    },
    restartUnlinkedTime: () => {
      if (!link) unlinkedSinceMs = readMonotonicMs();
    },
  };
}
