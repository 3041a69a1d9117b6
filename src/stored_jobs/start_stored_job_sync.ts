import { readError } from "../errors/read_error.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import type { EventLog } from "../vm/event_log.ts";
import type { WatchableTable } from "../vm/watchable_table.ts";
import { followStoredJobs } from "./follow_stored_jobs.ts";
import { forgetEndedJobs } from "./forget_ended_jobs.ts";
import { saveStoredJobs } from "./save_stored_jobs.ts";

/** How often old ends are removed from the store, in ms. */
const FORGET_MS = 30_000;

/** Keeps the scheduler's stored jobs: hears of them, stores what becomes of them, and forgets them in the end. */
export function startStoredJobSync(options: {
  table: WatchableTable;
  state: SchedulerState;
  /** Runs a decision and carries out what follows from it. */
  applyDecision: (decide: (nowMs: number) => void) => void;
  log: EventLog;
  /** Key of the row that gives this process the role. */
  roleKey: string;
  /** Its revision. */
  readRoleRevision: () => number;
  /** Called when the role has gone on to another process. */
  onSuperseded: () => void;
  /** Called when endpoints may forget some ends. */
  onEndsStored: () => void;
  /** How long the end of a job is kept for its caller, in ms. */
  readEndRetentionMs: () => number;
}): { stop(): void } {
  const { table, state, log } = options;
  const saver = saveStoredJobs(options);
  const follower = followStoredJobs({
    ...options,
    foundProgress: saver.foundProgress,
  });

  async function forget(): Promise<void> {
    if (!state.hasKeptJobs) return;
    try {
      const jobs = await forgetEndedJobs(table, {
        endedBeforeMs: Date.now() - options.readEndRetentionMs(),
        roleKey: options.roleKey,
        roleRevision: options.readRoleRevision(),
      });
      if (jobs > 0) log("endedJobsForgotten", { jobs });
    } catch (thrown) {
      log("endedJobsNotForgotten", { message: readError(thrown).message });
    }
  }

  const timer = setInterval(forget, FORGET_MS);
  return {
    stop: () => {
      clearInterval(timer);
      saver.stop();
      follower.stop();
    },
  };
}
