import { readError } from "../errors/read_error.ts";
import type { RunEndId } from "../scheduler/run_end_id.ts";
import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { confirmJobStored } from "../scheduler/confirm_job_stored.ts";
import type { Table } from "../store/table.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "../vm/event_log.ts";
import { encodeEndRecord } from "./encode_end_record.ts";
import { encodeProgress } from "./encode_progress.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Interval between two saves, in ms. It adds to the time until a run end is acknowledged; a write takes less than one interval. */
const SAVE_INTERVAL_MS = 20;
/** Pause before a failed write is repeated, in ms. */
const RETRY_DELAY_MS = 100;
/** Jobs of one transaction. A transaction may have 100 entries, and a job takes at most five: conditions and writes are counted separately. */
const MAX_JOBS_PER_TRANSACTION = 18;

/** A job that is being written. */
type Save = {
  job: ScheduledJob;
  /** Run ends that are acknowledged once the write is confirmed. */
  ends: RunEndId[];
  /** Whether the end record is written; otherwise the progress is. */
  isEnd: boolean;
  /** The job's number of changes of lost runs when it was taken. */
  lossChanges: number;
};

/**
 * Stores the progress and the end records of stored jobs, and acknowledges run
 * ends only after their effect is stored. Every write requires that this
 * process still holds the scheduler role.
 */
export function saveStoredJobs(options: {
  table: Table;
  state: SchedulerState;
  log: EventLog;
  /** Key of the scheduler row, which names the role holder. */
  roleKey: string;
  /** Reads the revision that the scheduler row has while this process holds the role. */
  readRoleRevision: () => number;
  /** Called when another process has taken over the scheduler role. */
  onSuperseded: () => void;
  /** Called when run ends have been acknowledged because their effect is stored. */
  onEndsStored: () => void;
}): {
  /** Sets the revision of a progress row that an earlier scheduler wrote. */
  setProgressRevision(id: string, revision: number): void;
  stop(): void;
} {
  const { table, state, log } = options;
  /** Revisions of the progress rows, by job id. */
  const progressRevisions = new Map<string, number>();
  let isSaving = false;
  let isStopped = false;

  function takeUnsaved(): Save[] {
    const jobs = [...state.unsaved].slice(0, MAX_JOBS_PER_TRANSACTION);
    return jobs.map((job) => {
      state.unsaved.delete(job);
      const ends = job.unsavedEnds;
      job.unsavedEnds = [];
      const { lossChanges, outcome } = job;
      return { job, ends, isEnd: outcome !== undefined, lossChanges };
    });
  }

  function addBack({ job, ends }: Save): void {
    state.unsaved.add(job);
    job.unsavedEnds.push(...ends);
  }

  function createOperations({ job, isEnd }: Save): TableOperation[] {
    if (isEnd) return encodeEndRecord(job);
    const { id } = job.order;
    const key = STORED_JOB_KEYS.formatProgress(id);
    const value = encodeProgress(job);
    const revision = progressRevisions.get(id);
    return revision === undefined
      ? [{ type: "insert", key, value }]
      : [{ type: "replace", key, value, revision }];
  }

  function confirm(save: Save, revision: number): void {
    const { job, isEnd } = save;
    const { id } = job.order;
    const nowMs = readMonotonicMs();
    if (isEnd) {
      progressRevisions.delete(id);
      const tookMs = Math.round(nowMs - job.endedMs);
      log("endStored", { job: id, tookMs });
    } else progressRevisions.set(id, revision);
    confirmJobStored(state, job, { ...save, nowMs });
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
    for (const save of saves) await handleConflict(save, keys);
  }

  /** Handles a job of a conflicting write. The conflict may come from an earlier write that took effect although its answer was lost. */
  async function handleConflict(
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
    if (rows[0]) progressRevisions.set(id, rows[0].revision);
    else progressRevisions.delete(id);
  }

  async function save(): Promise<void> {
    if (isSaving || isStopped || !state.areStoredJobsRead) return;
    if (state.unsaved.size === 0) return;
    isSaving = true;
    const saves = takeUnsaved();
    try {
      await write(saves);
    } catch (thrown) {
      for (const failed of saves) addBack(failed);
      const { message } = readError(thrown);
      log("jobsNotSaved", { jobs: saves.length, message });
      await waitMs(RETRY_DELAY_MS);
    }
    isSaving = false;
  }

  const timer = setInterval(save, SAVE_INTERVAL_MS);
  return {
    setProgressRevision: (id, revision) => progressRevisions.set(id, revision),
    stop: () => {
      isStopped = true;
      clearInterval(timer);
    },
  };
}
