import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import { UNKNOWN_RUN } from "../scheduler/unknown_run.ts";
import { encodeDoubtfulStarts } from "./encode_doubtful_starts.ts";
import { encodeFlags } from "./encode_flags.ts";
import { encodeLostRuns } from "./encode_lost_runs.ts";
import { encodeRuns } from "./encode_runs.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/** Most run numbers of doubtful starts that a row has, so that it fits beside the other progress of a large job. Others are counted only. */
const MAX_DOUBTFUL_RUNS = 8;

/** Encodes the progress that a later scheduler needs of a job that has not ended. */
export function encodeProgress(job: ScheduledJob): JobProgressRow {
  const { tasks } = job;
  const lostRuns = encodeLostRuns(tasks);
  const doubtfulStarts = encodeDoubtfulStarts(tasks);
  const doubtfulRuns = encodeRuns(
    tasks.map((task) => task.doubtfulRuns.filter((run) => run !== UNKNOWN_RUN)),
  ).slice(-MAX_DOUBTFUL_RUNS);
  return {
    done: encodeFlags(tasks.map(({ phase }) => phase === "done")),
    failedRuns: encodeRuns(tasks.map(({ failedRuns }) => failedRuns)),
    ...(lostRuns.length > 0 && { lostRuns }),
    ...(doubtfulStarts.length > 0 && { doubtfulStarts }),
    ...(doubtfulRuns.length > 0 && { doubtfulRuns }),
    ...(!hasStarted(job) && { isUnstarted: true }),
  };
}

function hasStarted({ hasKnownStart, tasks }: ScheduledJob): boolean {
  return hasKnownStart ||
    tasks.some(({ phase, failedRuns, lostRuns }) =>
      phase === "done" || failedRuns.length > 0 || lostRuns.length > 0
    );
}
