import { setImmediate } from "node:timers/promises";
import { readError } from "../errors/read_error.ts";
import { cancelJob } from "../scheduler/cancel_job.ts";
import { hasSpaceForJob } from "../scheduler/has_space_for_job.ts";
import { placeTasks } from "../scheduler/place_tasks.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import type { TableRow } from "../store/table_row.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "../vm/event_log.ts";
import type { WatchableTable } from "../vm/watchable_table.ts";
import type { JobProgressRow } from "./job_progress_row.ts";
import { listRowsByAge } from "./list_rows_by_age.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";
import { takeJobRow } from "./take_job_row.ts";

/** Longest wait of one long poll, in ms. An unresponsive connection is noticed only at the end of a poll, which must be well within the time for a cancellation. */
const LONG_POLL_MS = 500;
/** Longest wait of one long poll while jobs are postponed, in ms: there may be space for one of them soon. */
const POSTPONED_POLL_MS = 100;
/** Postponed jobs that are read between two polls; each takes two calls of the store. */
const POSTPONED_JOBS_PER_POLL = 10;
/** Rows that are processed before the event loop gets a turn: a few ms of work, a fraction of the heartbeat interval. */
const ROWS_PER_BATCH = 50;
/** Pause before a failed store call is repeated, in ms. */
const RETRY_DELAY_MS = 100;
/** Time after this scheduler started in which an earlier scheduler may still read new jobs and start them, in ms. */
const TAKEOVER_OVERLAP_MS = 3_000;

type ReadRows = {
  rows: TableRow[];
  progress: Map<string, JobProgressRow>;
  /** Whether an earlier scheduler may have started the jobs. */
  mayHaveRun: boolean;
  /** Whether the jobs were postponed, and there is space for their tasks by now. Default: false. */
  wasPostponed?: boolean;
};

/** Finds where the batch that begins at `start` ends: not between a job and its cancel request, which is the next row. */
function findBatchEnd(rows: TableRow[], start: number): number {
  const end = start + ROWS_PER_BATCH;
  const next = rows[end];
  const splitsJob = next && STORED_JOB_KEYS.parseJob(next.key).isCancelRequest;
  return splitsJob ? end + 1 : end;
}

/** Reads all stored jobs into the scheduler, then watches the store for new jobs and cancel requests. */
export function watchStoredJobs(options: {
  table: WatchableTable;
  state: SchedulerState;
  /** Runs a decision and carries out its effects. */
  applyDecision: (decide: (nowMs: number) => void) => void;
  log: EventLog;
  /** Called with the job's id and the revision of each progress row that an earlier scheduler wrote. */
  onProgressFound: (id: string, revision: number) => void;
}): { stop(): void } {
  const { table, state, applyDecision, log } = options;
  let watchedRevision = 0;
  let isStoreLost = false;
  let isStopped = false;

  function applyRows(read: ReadRows): void {
    // The watch returns deleted rows, those of ended jobs, without a value.
    const rows = read.rows.filter(({ value, isUnreadable }) =>
      value !== undefined || isUnreadable
    );
    applyDecision((nowMs) => {
      for (const row of rows) {
        const { id, isCancelRequest } = STORED_JOB_KEYS.parseJob(row.key);
        if (isCancelRequest) cancelJob(state, id, nowMs);
        else {
          takeJobRow(state, row, {
            id,
            progress: read.progress.get(id),
            mayHaveRun: read.mayHaveRun,
            wasPostponed: read.wasPostponed ?? false,
            nowMs,
          });
        }
      }
      placeTasks(state, nowMs);
    });
  }

  /** Processes many rows in batches, so that heartbeats and links are served between two batches. */
  async function applyInBatches(read: ReadRows): Promise<void> {
    let start = 0;
    while (start < read.rows.length) {
      const end = findBatchEnd(read.rows, start);
      applyRows({ ...read, rows: read.rows.slice(start, end) });
      start = end;
      await setImmediate();
      if (isStopped) return;
    }
  }

  /** Runs a reading of rows; no stored job is evicted until they are applied. */
  async function runReading(read: () => Promise<void>): Promise<void> {
    state.isReadingStoredJobs = true;
    try {
      await read();
    } finally {
      state.isReadingStoredJobs = false;
    }
  }

  /** Reads all stored jobs; jobs that the scheduler already has stay as they are. */
  async function readAllJobs(): Promise<void> {
    const jobs = await table.scan(STORED_JOB_KEYS.jobs, 0);
    const found = await table.scan(STORED_JOB_KEYS.progress, 0);
    const progress = new Map<string, JobProgressRow>();
    for (const { key, value, revision } of found.rows) {
      const id = STORED_JOB_KEYS.parseId(key);
      if (!state.jobs.has(id)) options.onProgressFound(id, revision);
      progress.set(id, value as JobProgressRow);
    }
    if (isStopped) return;
    const rows = listRowsByAge(jobs.rows);
    await applyInBatches({ rows, progress, mayHaveRun: true });
    if (isStopped) return;
    watchedRevision = jobs.revision;
    const keys = new Set(rows.map(({ key }) => key));
    for (const id of state.postponedJobs.keys()) {
      const key = STORED_JOB_KEYS.formatJob(id);
      if (!keys.has(key)) state.postponedJobs.delete(id);
    }
    if (state.areStoredJobsRead) return;
    state.areStoredJobsRead = true;
    const postponed = state.postponedJobs.size;
    log("storedJobsRead", { jobs: rows.length, postponed });
  }

  /** Reads the postponed jobs for which there is space by now, in the order in which they were stored. */
  async function readPostponedJobs(): Promise<void> {
    for (let count = 0; count < POSTPONED_JOBS_PER_POLL; count += 1) {
      const [next] = state.postponedJobs;
      if (!next || isStopped) return;
      const [id, size] = next;
      if (!hasSpaceForJob(state, { ...size, isKept: true })) return;
      const jobs = await table.scan(STORED_JOB_KEYS.formatJob(id), 0);
      const found = await table.scan(STORED_JOB_KEYS.formatProgress(id), 0);
      if (isStopped) return;
      const progress = new Map<string, JobProgressRow>();
      for (const { value, revision } of found.rows) {
        options.onProgressFound(id, revision);
        progress.set(id, value as JobProgressRow);
      }
      state.postponedJobs.delete(id);
      const rows = listRowsByAge(jobs.rows);
      applyRows({ rows, progress, mayHaveRun: true, wasPostponed: true });
    }
  }

  async function watch(): Promise<void> {
    const { rows, revision } = await table.watch(STORED_JOB_KEYS.jobs, {
      sinceRevision: watchedRevision,
      waitMs: state.postponedJobs.size > 0 ? POSTPONED_POLL_MS : LONG_POLL_MS,
    });
    if (isStopped) return;
    watchedRevision = Math.max(watchedRevision, revision);
    const mayHaveRun =
      readMonotonicMs() - state.startedMs < TAKEOVER_OVERLAP_MS;
    if (rows.length > 0) applyRows({ rows, progress: new Map(), mayHaveRun });
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      try {
        if (watchedRevision === 0 || isStoreLost) await runReading(readAllJobs);
        if (isStoreLost) log("storeRegained", { watch: "storedJobs" });
        isStoreLost = false;
        if (state.postponedJobs.size > 0) await runReading(readPostponedJobs);
        if (!isStopped) await watch();
      } catch (thrown) {
        const { message } = readError(thrown);
        if (!isStoreLost) log("storeLost", { watch: "storedJobs", message });
        isStoreLost = true;
        await waitMs(RETRY_DELAY_MS);
      }
    }
  }
  run();

  return {
    stop: () => {
      isStopped = true;
    },
  };
}
