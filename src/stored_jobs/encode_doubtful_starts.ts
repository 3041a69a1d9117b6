import type { ScheduledTask } from "../scheduler/scheduled_task.ts";
import { encodeFlags } from "./encode_flags.ts";

/** Encodes the numbers of doubtful starts of a job's tasks: for each number from 1, which tasks have so many at least. */
export function encodeDoubtfulStarts(tasks: ScheduledTask[]): string[] {
  const counts = tasks.map(({ doubtfulRuns }) => doubtfulRuns.length);
  const most = counts.reduce((one, other) => Math.max(one, other), 0);
  return Array.from(
    { length: most },
    (_, index) => encodeFlags(counts.map((count) => count > index)),
  );
}
