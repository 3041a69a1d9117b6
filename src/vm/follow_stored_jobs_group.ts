import { createAbsenceMonitor } from "../group/create_absence_monitor.ts";
import { findStoredJobsGroup } from "../group/find_stored_jobs_group.ts";
import { STORED_JOBS_GROUP_KEY } from "../group/stored_jobs_group_key.ts";
import { readError } from "../errors/read_error.ts";
import type { ScanResult } from "../store/scan_result.ts";
import type { Table } from "../store/table.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "./event_log.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import { handOverStoredJobs } from "./hand_over_stored_jobs.ts";
import { takeStoredJobs } from "./take_stored_jobs.ts";

/**
 * A group whose scheduler has written no heartbeat for this long loses the
 * stored jobs to another group, in ms. It starts none of their tasks later than
 * `MAX_UNCONFIRMED_MS` after its last heartbeat, and by the end of this time
 * their leases have expired on the slowest allowed clock.
 */
const TAKE_OVER_AFTER_MS = 10_000;

/** Follows which group runs the stored jobs, for the scheduler in this process: that begins to run them when the row names its group, takes them over when the scheduler of the named group is gone, and hands them over when its own group is evacuated. */
export function followStoredJobsGroup(options: {
  table: Table;
  log: EventLog;
  /** The group of this VM. */
  group: string;
  /** All groups; the first runs the stored jobs from the beginning. */
  groups: string[];
  /** Whether tasks may start in a group: not all its data centres are evacuated. Default: in each. */
  isOpen?: (group: string) => boolean;
  /** Called when the stored jobs were given to another group, so that the scheduler in this process has to stop. */
  onReturned: () => void;
}): {
  /** Reviews the heartbeats and the other rows beside them, as just read. */
  review(
    host: SchedulerHost,
    read: { scan: ScanResult; summaries: Map<string, GroupSummary> },
  ): Promise<void>;
} {
  const { table, log, group, groups, isOpen = () => true } = options;
  const keys = formatRowKeys(group);
  const monitor = createAbsenceMonitor(
    groups.map((one) => formatRowKeys(one).heartbeat),
  );

  async function takeIfAbsent(
    host: SchedulerHost,
    holder: { group: string; revision: number },
    { rows }: ScanResult,
  ): Promise<void> {
    const { heartbeat } = formatRowKeys(holder.group);
    const absentMs = monitor.readAbsentMs(heartbeat);
    if (absentMs < TAKE_OVER_AFTER_MS || !isOpen(group)) return;
    const isTaken = await takeStoredJobs(table, {
      group,
      role: { key: keys.scheduler, revision: host.readRoleRevision() },
      holder,
      heartbeat: rows.find(({ key }) => key === heartbeat),
    });
    if (!isTaken) return;
    log("storedJobsTaken", {
      group,
      wasGroup: holder.group,
      absentMs: Math.round(absentMs),
    });
  }

  /** Returns the stored jobs to a group whose scheduler runs them although the row names this group: it is of a version that does not know the row. */
  async function handBack(
    host: SchedulerHost,
    other: string,
    revision: number,
  ): Promise<void> {
    const result = await table.transact([
      {
        type: "check",
        key: keys.scheduler,
        revision: host.readRoleRevision(),
      },
      {
        type: "replace",
        key: STORED_JOBS_GROUP_KEY,
        value: { group: other },
        revision,
      },
    ]);
    if (result.type !== "committed") return;
    log("storedJobsReturned", { group: other, wasGroup: group });
    options.onReturned();
  }

  /** Hands the stored jobs over to the first open group, once none of their tasks runs here any more. */
  async function leave(
    host: SchedulerHost,
    holderRevision: number,
    summaries: Map<string, GroupSummary>,
  ): Promise<void> {
    const to = groups.find((one) => summaries.has(one) && isOpen(one));
    if (to === undefined || !host.tryPauseStoredJobs()) return;
    try {
      const isLeft = await handOverStoredJobs(table, {
        group,
        roleRevision: host.readRoleRevision(),
        holderRevision,
        to,
      });
      if (!isLeft) {
        host.resumeStoredJobs();
        return;
      }
      log("storedJobsHandedOver", { group: to, wasGroup: group });
    } catch (thrown) {
      const { message } = readError(thrown);
      log("storedJobsNotHandedOver", { group: to, message });
    }
    // A call without an answer may still take effect.
    options.onReturned();
  }

  return {
    review: async (host, { scan, summaries }) => {
      monitor.observe(scan.rows, readMonotonicMs());
      const holder = findStoredJobsGroup(scan.rows, groups);
      const isOwn = holder.group === group;
      host.setRunsStoredJobs(isOwn);
      if (!isOwn) return await takeIfAbsent(host, holder, scan);
      const other = [...summaries].find(([, { pending }]) => pending);
      if (other) await handBack(host, other[0], holder.revision);
      else if (!isOpen(group)) await leave(host, holder.revision, summaries);
    },
  };
}
