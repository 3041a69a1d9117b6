import type { JobOrder } from "../scheduler/job_order.ts";
import type { Table } from "../store/table.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { classifyStoreError } from "./classify_store_error.ts";
import type { EndRecord } from "./end_record.ts";
import { readStoredRow } from "./read_stored_row.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";
import type { StoredJobRow } from "./stored_job_row.ts";
import type { StoreOutcome } from "./store_outcome.ts";

/** Jobs of one transaction. A transaction may have 100 entries, and a job takes three: conditions and writes are counted separately. */
const MAX_JOBS_PER_TRANSACTION = 30;
/** Bytes of the rows of one transaction; an encoded transaction may have 1 MB. */
const MAX_BYTES_PER_TRANSACTION = 400_000;
/** Pause before a write whose outcome is unknown is repeated, in ms. */
const RETRY_DELAY_MS = 50;

type PendingJob = {
  id: string;
  row: StoredJobRow;
  bytes: number;
  /** No further attempt is made after this, in monotonic ms. */
  deadlineMs: number;
  /** Whether an earlier write of the job may have taken effect. */
  mayBeStored: boolean;
  resolve: (outcome: StoreOutcome) => void;
};

/** Stores accepted jobs. Jobs that arrive during a write are stored together by the next write. */
export function createJobWriter(
  table: Table,
  readMaxRowBytes: () => number,
  options: {
    /** Bytes of rows that may wait; a further job is not stored. Default: unlimited. */
    maxWaitingBytes?: number;
  } = {},
): {
  /** Resolves when the job is stored, when it certainly is not, or when the caller's wait time is over. */
  store(order: JobOrder): Promise<StoreOutcome>;
  /** Counts the jobs whose write has not finished. */
  count(): number;
  /** Resolves all jobs whose write has not finished, and stores none that was not sent. */
  abandonAll(): void;
} {
  const { maxWaitingBytes = Infinity } = options;
  let waitingBytes = 0;
  let pending: PendingJob[] = [];
  let sending: PendingJob[] = [];
  let isWriting = false;

  function takeBatch(): PendingJob[] {
    let bytes = 0;
    const size = pending.findIndex((job, index) => {
      bytes += job.bytes;
      return index > 0 &&
        (bytes > MAX_BYTES_PER_TRANSACTION ||
          index >= MAX_JOBS_PER_TRANSACTION);
    });
    const batch = size < 0 ? pending : pending.slice(0, size);
    pending = pending.slice(batch.length);
    return batch;
  }

  async function writePending(): Promise<void> {
    if (isWriting) return;
    isWriting = true;
    while (pending.length > 0) {
      sending = takeBatch();
      await writeBatch(sending);
      sending = [];
    }
    isWriting = false;
  }

  async function writeBatch(batch: PendingJob[]): Promise<void> {
    try {
      const result = await table.transact(batch.flatMap(createOperations));
      if (result.type === "committed") {
        for (const { resolve } of batch) resolve("stored");
        return;
      }
      await handleConflict(batch, new Set(result.keys));
    } catch (thrown) {
      await handleFailure(batch, classifyStoreError(thrown));
    }
  }

  /** A job that the store already has makes the whole transaction fail; the other jobs go into the next write. */
  async function handleConflict(
    batch: PendingJob[],
    conflicts: Set<string>,
  ): Promise<void> {
    const ended = batch.filter(({ id }) =>
      conflicts.has(STORED_JOB_KEYS.formatEnd(id))
    );
    const stored = batch.filter(({ id }) =>
      conflicts.has(STORED_JOB_KEYS.formatJob(id))
    );
    if (ended.length + stored.length === 0) {
      await handleFailure(batch, "unknown");
      return;
    }
    for (const { resolve } of stored) resolve("known");
    const known = new Set([...ended, ...stored]);
    pending.unshift(...batch.filter((job) => !known.has(job)));
    for (const job of ended) await answerEndedJob(job);
  }

  /** Answers for a job that has an end record, which a job that was cancelled before it was stored has as well. */
  async function answerEndedJob(job: PendingJob): Promise<void> {
    try {
      const key = STORED_JOB_KEYS.formatEnd(job.id);
      const record = await readStoredRow(table, key);
      if (!record) {
        // It has expired since, so the job can be stored again.
        pending.push(job);
        return;
      }
      const { state } = record.value as EndRecord;
      job.resolve(state === "withdrawn" ? "withdrawn" : "known");
    } catch {
      await handleFailure([job], "unknown");
    }
  }

  async function handleFailure(
    batch: PendingJob[],
    certainty: "notDone" | "unknown",
  ): Promise<void> {
    const nowMs = readMonotonicMs();
    for (const job of batch) {
      if (certainty === "unknown") job.mayBeStored = true;
      if (!job.mayBeStored) job.resolve("notStored");
      else if (nowMs > job.deadlineMs) job.resolve("unknown");
      else pending.push(job);
    }
    if (pending.length > 0) await waitMs(RETRY_DELAY_MS);
  }

  return {
    count: () => pending.length + sending.length,
    abandonAll: () => {
      for (const { resolve } of sending) resolve("unknown");
      for (const { mayBeStored, resolve } of pending) {
        resolve(mayBeStored ? "unknown" : "notStored");
      }
      pending = [];
    },
    store: (order) =>
      new Promise((resolve) => {
        const row = { order, acceptedAtMs: Date.now() };
        const bytes = Buffer.byteLength(JSON.stringify(row));
        if (bytes > readMaxRowBytes()) return resolve("tooLarge");
        if (waitingBytes + bytes > maxWaitingBytes) return resolve("notStored");
        waitingBytes += bytes;
        pending.push({
          id: order.id,
          row,
          bytes,
          deadlineMs: readMonotonicMs() + order.waitMs,
          mayBeStored: false,
          resolve: (outcome) => {
            waitingBytes -= bytes;
            resolve(outcome);
          },
        });
        writePending();
      }),
  };
}

function createOperations({ id, row }: PendingJob): TableOperation[] {
  return [
    { type: "insert", key: STORED_JOB_KEYS.formatJob(id), value: row },
    // Only the end record is left of a job that has ended.
    { type: "check", key: STORED_JOB_KEYS.formatEnd(id), revision: 0 },
  ];
}
