import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import { encodeFlags } from "./encode_flags.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/** Encodes the progress that a later scheduler needs of a job that has not ended. */
export function encodeProgress({ tasks }: ScheduledJob): JobProgressRow {
  const failures: JobProgressRow["failures"] = [];
  tasks.forEach(({ failures: count, failedRun }, index) => {
    if (count > 0) failures.push([index, count, failedRun]);
  });
  return {
    done: encodeFlags(tasks.map(({ phase }) => phase === "done")),
    failures,
  };
}
