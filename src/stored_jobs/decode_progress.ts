import type { JobOrder } from "../scheduler/job_order.ts";
import type { StoredProgress } from "../scheduler/stored_progress.ts";
import { decodeFlags } from "./decode_flags.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/** Decodes what an earlier scheduler has stored of a job. */
export function decodeProgress(
  row: JobProgressRow,
  order: JobOrder,
): StoredProgress {
  const tasks = order.steps.reduce((sum, { count }) => sum + count, 0);
  return {
    done: decodeFlags(row.done, tasks),
    failures: row.failures.map(([task, count, run]) => ({ task, count, run })),
  };
}
