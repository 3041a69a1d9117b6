import type { ScheduledTask } from "../scheduler/scheduled_task.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

type LostRuns = NonNullable<JobProgressRow["lostRuns"]>;

/** Most lost runs and endpoints together that a row has, so that it fits beside the other progress of a large job. */
const MAX_ENTRIES = 120;

/** Encodes the lost runs of a job's tasks by endpoint, those of crashed endpoints first. */
export function encodeLostRuns(tasks: ScheduledTask[]): LostRuns {
  const rows = new Map<string, LostRuns[number]>();
  tasks.forEach(({ lostRuns }, index) => {
    for (const lost of lostRuns) {
      const { endpointId, processStartMs, hasCrashed, countsInFull } = lost;
      const { isCrashProven, others } = lost;
      const columns = [
        endpointId,
        processStartMs,
        hasCrashed,
        countsInFull,
      ] as const;
      const key = [...columns, isCrashProven, others].join(" ");
      const row = rows.get(key) ?? [...columns, [], isCrashProven, others];
      row[4].push(index);
      rows.set(key, row);
    }
  });
  const sorted = [...rows.values()]
    .sort((one, other) => Number(other[2]) - Number(one[2]));
  let entries = 0;
  return sorted.filter(([, , , , positions]) => {
    entries += 1 + positions.length;
    return entries <= MAX_ENTRIES;
  });
}
