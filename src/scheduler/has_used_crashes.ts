import { countCrashes } from "./count_crashes.ts";
import { MAX_DOUBTS } from "./max_doubts.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** Number of crashes that count in full after which a task is not started again: the first may have had another cause, the second endpoint ran nothing else. */
const MAX_CRASHES_IN_FULL = 2;
/** The same number with crashes that another task may have caused, or that may have come before the run. */
const MAX_CRASHES = 3;

/** Whether so many endpoints have, or may have, crashed under a waiting task that it is not started again. */
export function hasUsedCrashes(
  { lostRuns, doubtfulRuns }: ScheduledTask,
  options: {
    /** Whether only proven crashes count, rather than presumed ones as well. */
    areProven: boolean;
  },
): boolean {
  const counted = options.areProven
    ? lostRuns.filter(({ isCrashProven }) => isCrashProven)
    : lostRuns;
  const { all, inFull } = countCrashes(counted);
  if (inFull >= MAX_CRASHES_IN_FULL || all >= MAX_CRASHES) return true;
  return all + doubtfulRuns.length >= MAX_DOUBTS;
}
