import { readError } from "../errors/read_error.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import type { EventLog } from "../vm/event_log.ts";
import type { WatchableTable } from "../vm/watchable_table.ts";
import { watchStoredJobs } from "./watch_stored_jobs.ts";
import { dropExpiredEndRecords } from "./drop_expired_end_records.ts";
import { saveStoredJobs } from "./save_stored_jobs.ts";

/** Interval between two deletions of expired end records, in ms. */
const CLEANUP_INTERVAL_MS = 30_000;

/** Keeps the scheduler and the store in sync: reads new stored jobs, saves their progress and end records, and deletes expired end records. */
export function startStoredJobSync(options: {
  table: WatchableTable;
  state: SchedulerState;
  /** Runs a decision and carries out its effects. */
  applyDecision: (decide: (nowMs: number) => void) => void;
  log: EventLog;
  /** Key of the scheduler row, which names the role holder. */
  roleKey: string;
  /** Reads the revision that the scheduler row has while this process holds the role. */
  readRoleRevision: () => number;
  /** Called when another process has taken over the scheduler role. */
  onSuperseded: () => void;
  /** Called when run ends have been acknowledged because their effect is stored. */
  onEndsStored: () => void;
  /** Reads the retention period of end records, in ms. */
  readEndRetentionMs: () => number;
}): { stop(): void } {
  const { table, log } = options;
  const saver = saveStoredJobs(options);
  const watcher = watchStoredJobs({
    ...options,
    onProgressFound: saver.setProgressRevision,
  });

  async function dropExpired(): Promise<void> {
    try {
      const jobs = await dropExpiredEndRecords(table, {
        endedBeforeMs: Date.now() - options.readEndRetentionMs(),
        roleKey: options.roleKey,
        roleRevision: options.readRoleRevision(),
      });
      if (jobs > 0) log("endedJobsForgotten", { jobs });
    } catch (thrown) {
      log("endedJobsNotForgotten", { message: readError(thrown).message });
    }
  }

  const timer = setInterval(dropExpired, CLEANUP_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      saver.stop();
      watcher.stop();
    },
  };
}
