import { MIN_JUDGED_PROGRESS } from "./min_judged_progress.ts";
import type { RunPace } from "./run_pace.ts";

/** Progress after which the recent speed is derived anew; endpoints report progress in coarse steps. */
const ANCHOR_STEP = 0.1;

/** Updates a run's pace from its progress, 0 to 1, and the time since its start on the endpoint's clock, in ms. */
export function updateRunPace(
  pace: RunPace,
  listed: { progress: number; elapsedMs: number },
): void {
  const { progress, elapsedMs } = listed;
  const { anchor, expectedMs } = pace;
  const countedProgress = Math.max(progress, MIN_JUDGED_PROGRESS);
  pace.scale = elapsedMs / countedProgress / expectedMs;
  pace.isReliable = progress >= MIN_JUDGED_PROGRESS;
  const gained = progress - anchor.progress;
  const tookMs = elapsedMs - anchor.elapsedMs;
  const recentScale = tookMs / Math.max(gained, ANCHOR_STEP) / expectedMs;
  if (gained >= ANCHOR_STEP) {
    pace.recentScale = recentScale;
    pace.anchor = { progress, elapsedMs };
  } else pace.recentScale = Math.max(pace.recentScale, recentScale);
}
