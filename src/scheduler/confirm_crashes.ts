import { recordEvent } from "./record_event.ts";
import { recordLossChange } from "./record_loss_change.ts";
import type { LostRun } from "./lost_run.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** An endpoint that has left the store's list this long ago without having answered again has crashed, in ms. It leaves the list some seconds after it went away, and a partition that hid it from the store as well is likely over by then. */
const GONE_MS = 3_000;
/** An endpoint that has not answered again this long after its runs were lost has crashed, whether or not it is listed, in ms; longer than network partitions usually last. */
const NO_RETURN_MS = 15_000;

/** Takes it as proven that endpoints have crashed which have been absent for long enough since their runs were lost. */
export function confirmCrashes(state: SchedulerState, nowMs: number): void {
  for (const task of state.suspects) {
    if (task.job.outcome) continue;
    for (const lost of task.lostRuns) {
      if (lost.isCrashProven || !isAbsent(lost, nowMs)) continue;
      lost.hasCrashed = true;
      lost.isCrashProven = true;
      recordLossChange(state, task.job);
      recordEvent(state, "lossSettled", {
        task: task.name,
        endpoint: lost.endpointId,
        hasCrashed: true,
        losses: task.lostRuns.length,
      });
    }
  }
}

function isAbsent({ lostMs, goneMs }: LostRun, nowMs: number): boolean {
  if (nowMs - lostMs > NO_RETURN_MS) return true;
  return goneMs !== undefined && nowMs - goneMs > GONE_MS;
}
