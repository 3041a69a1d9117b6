import type { JobOrder } from "../scheduler/job_order.ts";
import type { StoredProgress } from "../scheduler/stored_progress.ts";
import { decodeFlags } from "./decode_flags.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/** Decodes the progress of a job that an earlier scheduler stored. */
export function decodeProgress(
  row: JobProgressRow,
  order: JobOrder,
): StoredProgress {
  const taskCount = order.steps.reduce((sum, { count }) => sum + count, 0);
  return {
    done: decodeFlags(row.done, taskCount),
    // A row that an earlier version of the program wrote lacks them.
    failedRuns: (row.failedRuns ?? []).flatMap(([run, flags]) =>
      decodeFlags(flags, taskCount).flatMap((hasFailed, task) =>
        hasFailed ? [{ task, run }] : []
      )
    ),
    lostRuns: (row.lostRuns ?? []).flatMap((
      [endpointId, processStartMs, hasCrashed, wasConfirmed, tasks],
    ) =>
      tasks.map((task) => ({
        endpointId,
        processStartMs,
        hasCrashed,
        wasConfirmed,
        task,
      }))
    ),
    isUnstarted: row.isUnstarted === true,
    doubtfulStarts: decodeDoubtfulStarts(row.doubtfulStarts ?? [], taskCount),
  };
}

function decodeDoubtfulStarts(levels: string[], taskCount: number) {
  const flags = levels.map((level) => decodeFlags(level, taskCount));
  return Array.from({ length: taskCount }, (_, task) => ({
    task,
    count: flags.filter((hasStart) => hasStart[task]).length,
  })).filter(({ count }) => count > 0);
}
