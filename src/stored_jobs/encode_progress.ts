import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import { UNKNOWN_RUN } from "../scheduler/unknown_run.ts";
import { encodeDoubtfulStarts } from "./encode_doubtful_starts.ts";
import { encodeFlags } from "./encode_flags.ts";
import { encodeLostRuns } from "./encode_lost_runs.ts";
import { encodeRuns } from "./encode_runs.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/** Bytes of the failed runs, and of the doubtful ones, in a row, so that the row of a large job fits into the store: a write that the store refuses keeps the jobs beside it from being saved. Of doubtful runs beyond that only the number is stored. */
const MAX_FAILED_BYTES = 30_000;
const MAX_DOUBTFUL_BYTES = 5_000;

/** Encodes the progress that a later scheduler needs of a job that has not ended. */
export function encodeProgress(job: ScheduledJob): JobProgressRow {
  const { tasks } = job;
  const lostRuns = encodeLostRuns(tasks);
  const doubtfulStarts = encodeDoubtfulStarts(tasks);
  const doubtfulRuns = encodeRuns(
    tasks.map((task) => task.doubtfulRuns.filter((run) => run !== UNKNOWN_RUN)),
    MAX_DOUBTFUL_BYTES,
  );
  return {
    done: encodeFlags(tasks.map(({ phase }) => phase === "done")),
    failedRuns: encodeRuns(
      tasks.map(({ failedRuns }) => failedRuns),
      MAX_FAILED_BYTES,
    ),
    ...(lostRuns.length > 0 && { lostRuns }),
    ...(doubtfulStarts.length > 0 && { doubtfulStarts }),
    ...(doubtfulRuns.length > 0 && { doubtfulRuns }),
    ...(!hasStarted(job) && { isUnstarted: true }),
  };
}

function hasStarted({ hasKnownStart, tasks }: ScheduledJob): boolean {
  return hasKnownStart ||
    tasks.some(({ phase, failedRuns, lostRuns }) =>
      phase === "done" || failedRuns.length > 0 ||
      lostRuns.some(({ countsInFull }) => countsInFull)
    );
}
