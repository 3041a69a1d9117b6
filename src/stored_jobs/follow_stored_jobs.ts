import { setImmediate } from "node:timers/promises";
import { readError } from "../errors/read_error.ts";
import { cancelJob } from "../scheduler/cancel_job.ts";
import { placeTasks } from "../scheduler/place_tasks.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { submitStoredJob } from "../scheduler/submit_stored_job.ts";
import type { TableRow } from "../store/table_row.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "../vm/event_log.ts";
import type { WatchableTable } from "../vm/watchable_table.ts";
import { decodeProgress } from "./decode_progress.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";
import type { StoredJobRow } from "./stored_job_row.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/** How long one watch waits for a change, in ms; a silent connection is found after it, well inside the time for a cancel. */
const WATCH_MS = 500;
/** Rows handed over without a break: a few ms of work, a fraction of the time between two beats. */
const ROWS_AT_ONCE = 50;
/** Pause after a call of the store that failed, in ms. */
const AGAIN_MS = 100;
/** An earlier scheduler may have heard of jobs that are stored until then, in ms after this one began. */
const OVERLAP_MS = 3_000;

type Stored = {
  rows: TableRow[];
  progress: Map<string, JobProgressRow>;
  /** Whether an earlier scheduler may have begun the jobs. */
  mayHaveRun: boolean;
};

/** Hands the scheduler the stored jobs that an earlier one had, then new ones and cancels as they are stored. */
export function followStoredJobs(options: {
  table: WatchableTable;
  state: SchedulerState;
  /** Runs a decision and carries out what follows from it. */
  applyDecision: (decide: (nowMs: number) => void) => void;
  log: EventLog;
  /** Told the revision of each row of progress that an earlier scheduler wrote. */
  foundProgress: (id: string, revision: number) => void;
}): { stop(): void } {
  const { table, state, applyDecision, log } = options;
  let since = 0;
  let isLost = false;
  let isStopped = false;

  function takeRows(stored: Stored): void {
    // Without a value it is the row of a job that has ended.
    const rows = stored.rows.filter(({ value }) => value !== undefined);
    applyDecision((nowMs) => {
      for (const row of rows) {
        const { id, isCancel } = STORED_JOB_KEYS.parseJob(row.key);
        if (isCancel) cancelJob(state, id, nowMs);
        else takeJob(row.value as StoredJobRow, { stored, nowMs });
      }
      placeTasks(state, nowMs);
    });
  }

  /** Hands over many jobs a few at a time: beats and links go on meanwhile. */
  async function takeAllRows(stored: Stored): Promise<void> {
    for (let at = 0; at < stored.rows.length; at += ROWS_AT_ONCE) {
      const rows = stored.rows.slice(at, at + ROWS_AT_ONCE);
      takeRows({ ...stored, rows });
      await setImmediate();
      if (isStopped) return;
    }
  }

  function takeJob(
    { order, acceptedAtMs }: StoredJobRow,
    from: { stored: Stored; nowMs: number },
  ): void {
    const { stored, nowMs } = from;
    const progress = stored.progress.get(order.id);
    const ageMs = Math.max(0, Date.now() - acceptedAtMs);
    submitStoredJob(state, { ...order, ageMs }, {
      nowMs,
      mayHaveRun: stored.mayHaveRun,
      progress: progress && decodeProgress(progress, order),
    });
  }

  /** Reads all jobs; those that are known already go on as they are. */
  async function readAll(): Promise<void> {
    const jobs = await table.scan(STORED_JOB_KEYS.jobs, 0);
    const found = await table.scan(STORED_JOB_KEYS.progress, 0);
    const progress = new Map<string, JobProgressRow>();
    for (const { key, value, revision } of found.rows) {
      const id = STORED_JOB_KEYS.parseId(key);
      if (!state.jobs.has(id)) options.foundProgress(id, revision);
      progress.set(id, value as JobProgressRow);
    }
    if (isStopped) return;
    await takeAllRows({ rows: jobs.rows, progress, mayHaveRun: true });
    if (isStopped) return;
    since = jobs.revision;
    if (state.areStoredJobsRead) return;
    state.areStoredJobsRead = true;
    log("storedJobsRead", { jobs: jobs.rows.length });
  }

  async function watch(): Promise<void> {
    const { rows, revision } = await table.watch(STORED_JOB_KEYS.jobs, {
      sinceRevision: since,
      waitMs: WATCH_MS,
    });
    if (isStopped) return;
    since = Math.max(since, revision);
    const mayHaveRun = readMonotonicMs() - state.startedMs < OVERLAP_MS;
    if (rows.length > 0) takeRows({ rows, progress: new Map(), mayHaveRun });
  }

  async function follow(): Promise<void> {
    while (!isStopped) {
      try {
        if (since === 0 || isLost) await readAll();
        if (isLost) log("storeRegained", { watch: "storedJobs" });
        isLost = false;
        if (!isStopped) await watch();
      } catch (thrown) {
        const { message } = readError(thrown);
        if (!isLost) log("storeLost", { watch: "storedJobs", message });
        isLost = true;
        await waitMs(AGAIN_MS);
      }
    }
  }
  follow();

  return {
    stop: () => {
      isStopped = true;
    },
  };
}
