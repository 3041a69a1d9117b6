import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import { encodeDoubtfulStarts } from "./encode_doubtful_starts.ts";
import { encodeFlags } from "./encode_flags.ts";
import { encodeLostRuns } from "./encode_lost_runs.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/** Encodes the progress that a later scheduler needs of a job that has not ended. */
export function encodeProgress(job: ScheduledJob): JobProgressRow {
  const { tasks } = job;
  const failed = new Map<number, boolean[]>();
  tasks.forEach(({ failedRuns }, index) => {
    for (const run of failedRuns) {
      const flags = failed.get(run) ?? tasks.map(() => false);
      flags[index] = true;
      failed.set(run, flags);
    }
  });
  const lostRuns = encodeLostRuns(tasks);
  const doubtfulStarts = encodeDoubtfulStarts(tasks);
  return {
    done: encodeFlags(tasks.map(({ phase }) => phase === "done")),
    failedRuns: [...failed].map(([run, flags]) => [run, encodeFlags(flags)]),
    ...(lostRuns.length > 0 && { lostRuns }),
    ...(doubtfulStarts.length > 0 && { doubtfulStarts }),
    ...(!hasStarted(job) && { isUnstarted: true }),
  };
}

function hasStarted({ hasKnownStart, tasks }: ScheduledJob): boolean {
  return hasKnownStart ||
    tasks.some(({ phase, failedRuns, lostRuns }) =>
      phase === "done" || failedRuns.length > 0 || lostRuns.length > 0
    );
}
