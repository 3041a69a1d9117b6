import { readError } from "../errors/read_error.ts";
import type { RunEndId } from "../scheduler/run_end_id.ts";
import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { acknowledgeSavedEnds } from "../scheduler/acknowledge_saved_ends.ts";
import type { Table } from "../store/table.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "../vm/event_log.ts";
import { encodeEnd } from "./encode_end.ts";
import { encodeProgress } from "./encode_progress.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** How often what has changed is written, in ms: ends wait for it, and a write takes a part of it. */
const SAVE_MS = 20;
/** Pause after a write that failed, in ms. */
const AGAIN_MS = 100;
/** Jobs of one transaction: each takes at most five of the hundred entries that one may have, as conditions and writes count apart. */
const MOST_JOBS = 18;

/** A job as it is being written, with the ends that endpoints may forget afterwards. */
type Save = { job: ScheduledJob; marks: RunEndId[]; isEnd: boolean };

/**
 * Stores what becomes of stored jobs before endpoints may forget it. Every
 * write is on condition that the role has not gone on.
 */
export function saveStoredJobs(options: {
  table: Table;
  state: SchedulerState;
  log: EventLog;
  /** Key of the row that gives this process the role. */
  roleKey: string;
  /** Its revision. */
  readRoleRevision: () => number;
  /** Called when the role has gone on to another process. */
  onSuperseded: () => void;
  /** Called when endpoints may forget some ends. */
  onEndsStored: () => void;
}): {
  /** Learns the revision of a row of progress that an earlier scheduler wrote. */
  foundProgress(id: string, revision: number): void;
  stop(): void;
} {
  const { table, state, log } = options;
  /** Of the rows of progress, by job. */
  const revisions = new Map<string, number>();
  let isBusy = false;
  let isStopped = false;

  function takeUnsaved(): Save[] {
    const jobs = [...state.unsaved].slice(0, MOST_JOBS);
    return jobs.map((job) => {
      state.unsaved.delete(job);
      const marks = job.unsavedEnds;
      job.unsavedEnds = [];
      return { job, marks, isEnd: job.outcome !== undefined };
    });
  }

  function addBack({ job, marks }: Save): void {
    state.unsaved.add(job);
    job.unsavedEnds.push(...marks);
  }

  function createOperations({ job, isEnd }: Save): TableOperation[] {
    if (isEnd) return encodeEnd(job);
    const { id } = job.order;
    const key = STORED_JOB_KEYS.formatProgress(id);
    const value = encodeProgress(job);
    const revision = revisions.get(id);
    return revision === undefined
      ? [{ type: "insert", key, value }]
      : [{ type: "replace", key, value, revision }];
  }

  function confirm({ job, marks, isEnd }: Save, revision: number): void {
    const { id } = job.order;
    if (isEnd) {
      revisions.delete(id);
      const tookMs = Math.round(readMonotonicMs() - job.endedMs);
      log("endStored", { job: id, tookMs });
    } else revisions.set(id, revision);
    acknowledgeSavedEnds(state, marks);
  }

  async function write(saves: Save[]): Promise<void> {
    const result = await table.transact([
      {
        type: "check",
        key: options.roleKey,
        revision: options.readRoleRevision(),
      },
      ...saves.flatMap(createOperations),
    ]);
    if (result.type === "committed") {
      for (const save of saves) confirm(save, result.revision);
      options.onEndsStored();
      return;
    }
    const keys = new Set(result.keys);
    if (keys.has(options.roleKey)) options.onSuperseded();
    for (const save of saves) await settleConflict(save, keys);
  }

  /** An earlier write may have taken effect though its answer was lost. */
  async function settleConflict(
    save: Save,
    conflicts: Set<string>,
  ): Promise<void> {
    const { id } = save.job.order;
    if (save.isEnd && conflicts.has(STORED_JOB_KEYS.formatEnd(id))) {
      confirm(save, 0);
      return;
    }
    addBack(save);
    const key = STORED_JOB_KEYS.formatProgress(id);
    if (!conflicts.has(key)) return;
    const { rows } = await table.scan(key, 0);
    if (rows[0]) revisions.set(id, rows[0].revision);
    else revisions.delete(id);
  }

  async function save(): Promise<void> {
    if (isBusy || isStopped || !state.areStoredJobsRead) return;
    if (state.unsaved.size === 0) return;
    isBusy = true;
    const saves = takeUnsaved();
    try {
      await write(saves);
    } catch (thrown) {
      for (const one of saves) addBack(one);
      const { message } = readError(thrown);
      log("jobsNotSaved", { jobs: saves.length, message });
      await waitMs(AGAIN_MS);
    }
    isBusy = false;
  }

  const timer = setInterval(save, SAVE_MS);
  return {
    foundProgress: (id, revision) => revisions.set(id, revision),
    stop: () => {
      isStopped = true;
      clearInterval(timer);
    },
  };
}
