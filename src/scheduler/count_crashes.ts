import type { ScheduledTask } from "./scheduled_task.ts";

/** An endpoint that has not answered again this long after its runs were lost has crashed, in ms; longer than network partitions usually last. */
const NO_RETURN_MS = 15_000;

/** Counts the endpoints that have crashed after a start of the task was sent there: all, and those that had confirmed it. */
export function countCrashes(
  { lostRuns }: ScheduledTask,
  nowMs: number,
): { all: number; confirmed: number } {
  const crashes = lostRuns.filter(({ hasCrashed, lostMs }) =>
    hasCrashed || nowMs - lostMs > NO_RETURN_MS
  );
  const confirmed = crashes.filter(({ wasConfirmed }) => wasConfirmed);
  return { all: crashes.length, confirmed: confirmed.length };
}
