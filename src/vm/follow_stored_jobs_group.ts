import { createAbsenceMonitor } from "../group/create_absence_monitor.ts";
import { findStoredJobsGroup } from "../group/find_stored_jobs_group.ts";
import { STORED_JOBS_GROUP_KEY } from "../group/stored_jobs_group_key.ts";
import type { ScanResult } from "../store/scan_result.ts";
import type { Table } from "../store/table.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "./event_log.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import { takeStoredJobs } from "./take_stored_jobs.ts";

/**
 * A group whose scheduler has written no heartbeat for this long loses the
 * stored jobs to another group, in ms. It starts none of their tasks later than
 * `MAX_UNCONFIRMED_MS` after its last heartbeat, and by the end of this time
 * their leases have expired on the slowest allowed clock.
 */
const TAKE_OVER_AFTER_MS = 10_000;

/** Follows which group runs the stored jobs, for the scheduler in this process: that begins to run them when the row names its group, and takes them over when the scheduler of the named group is gone. */
export function followStoredJobsGroup(options: {
  table: Table;
  log: EventLog;
  /** The group of this VM. */
  group: string;
  /** All groups; the first runs the stored jobs from the beginning. */
  groups: string[];
  /** Called when the stored jobs were returned to a group, so that the scheduler in this process has to stop. */
  onReturned: () => void;
}): {
  /** Reviews the heartbeats and the other rows beside them, as just read. */
  review(
    host: SchedulerHost,
    read: { scan: ScanResult; summaries: Map<string, GroupSummary> },
  ): Promise<void>;
} {
  const { table, log, group, groups } = options;
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
    if (absentMs < TAKE_OVER_AFTER_MS) return;
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

  return {
    review: async (host, { scan, summaries }) => {
      monitor.observe(scan.rows, readMonotonicMs());
      const holder = findStoredJobsGroup(scan.rows, groups);
      const isOwn = holder.group === group;
      host.setRunsStoredJobs(isOwn);
      if (!isOwn) return await takeIfAbsent(host, holder, scan);
      const other = [...summaries].find(([, { pending }]) => pending);
      if (other) await handBack(host, other[0], holder.revision);
    },
  };
}
