import type { JobOrder } from "../scheduler/job_order.ts";
import type { Table } from "../store/table.ts";
import type { TableOperation } from "../store/table_operation.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { classifyStoreFault } from "./classify_store_fault.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";
import type { StoredJobRow } from "./stored_job_row.ts";
import type { StoreOutcome } from "./store_outcome.ts";

/** Jobs of one transaction: each takes three of the hundred entries that one may have, as conditions and writes count apart. */
const MOST_JOBS = 30;
/** Bytes of one transaction, well below the megabyte that one may have once encoded. */
const MOST_BYTES = 400_000;
/** Pause before a write whose outcome is not known is sent again, in ms. */
const AGAIN_MS = 50;

type Waiting = {
  id: string;
  row: StoredJobRow;
  bytes: number;
  untilMs: number;
  /** Whether an earlier attempt may have been carried out. */
  isSent: boolean;
  resolve: (outcome: StoreOutcome) => void;
};

/** Stores accepted jobs, those that arrive while a write is on its way together in the next one. */
export function createJobWriter(
  table: Table,
  readMostRowBytes: () => number,
): {
  /** Resolves when the job is stored, or surely is not, or the wait is over. */
  store(order: JobOrder): Promise<StoreOutcome>;
  /** Jobs that wait for the store. */
  count(): number;
} {
  let waiting: Waiting[] = [];
  let sending = 0;
  let isBusy = false;

  function takeBatch(): Waiting[] {
    let bytes = 0;
    const size = waiting.findIndex((job, index) => {
      bytes += job.bytes;
      return index > 0 && (bytes > MOST_BYTES || index >= MOST_JOBS);
    });
    const batch = size < 0 ? waiting : waiting.slice(0, size);
    waiting = waiting.slice(batch.length);
    return batch;
  }

  async function run(): Promise<void> {
    if (isBusy) return;
    isBusy = true;
    while (waiting.length > 0) {
      const batch = takeBatch();
      sending = batch.length;
      await send(batch);
      sending = 0;
    }
    isBusy = false;
  }

  async function send(batch: Waiting[]): Promise<void> {
    try {
      const result = await table.transact(batch.flatMap(createOperations));
      if (result.type === "committed") {
        for (const { resolve } of batch) resolve("stored");
        return;
      }
      const known = new Set(result.keys.map(STORED_JOB_KEYS.parseId));
      if (batch.some(({ id }) => known.has(id))) settleKnown(batch, known);
      else await settleFault(batch, "unknown");
    } catch (thrown) {
      await settleFault(batch, classifyStoreFault(thrown));
    }
  }

  /** Those that were there fail the whole write; the others are sent again. */
  function settleKnown(batch: Waiting[], known: Set<string>): void {
    for (const job of batch) {
      if (known.has(job.id)) job.resolve("known");
      else waiting.unshift(job);
    }
  }

  async function settleFault(
    batch: Waiting[],
    fault: "notDone" | "unknown",
  ): Promise<void> {
    const nowMs = readMonotonicMs();
    for (const job of batch) {
      if (fault === "unknown") job.isSent = true;
      if (!job.isSent) job.resolve("notStored");
      else if (nowMs > job.untilMs) job.resolve("unknown");
      else waiting.push(job);
    }
    if (waiting.length > 0) await waitMs(AGAIN_MS);
  }

  return {
    count: () => waiting.length + sending,
    store: (order) =>
      new Promise((resolve) => {
        const row = { order, acceptedAtMs: Date.now() };
        const bytes = Buffer.byteLength(JSON.stringify(row));
        if (bytes > readMostRowBytes()) return resolve("tooLarge");
        waiting.push({
          id: order.id,
          row,
          bytes,
          untilMs: readMonotonicMs() + order.waitMs,
          isSent: false,
          resolve,
        });
        run();
      }),
  };
}

function createOperations({ id, row }: Waiting): TableOperation[] {
  return [
    { type: "insert", key: STORED_JOB_KEYS.formatJob(id), value: row },
    // A job that has ended is known by this row alone.
    { type: "check", key: STORED_JOB_KEYS.formatEnd(id), revision: 0 },
  ];
}
