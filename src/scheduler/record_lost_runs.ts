import { clearCountedStart } from "./clear_counted_start.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import { isSuspect } from "./is_suspect.ts";
import { recordEvent } from "./record_event.ts";
import { recordLossChange } from "./record_loss_change.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { SilenceCause } from "./silence_cause.ts";

/**
 * Records the loss of every run at an endpoint that became unresponsive or was
 * restarted, once for each process of the endpoint. The runs of an endpoint
 * that has announced its end are not recorded, as none of them caused it.
 */
export function recordLostRuns(
  state: SchedulerState,
  endpoint: EndpointRecord,
  lost: {
    cause: SilenceCause | "restarted";
    nowMs: number;
    /** Leaves out runs whose start was sent after this, in ms. Default: none. */
    sentBeforeMs?: number;
  },
): void {
  if (endpoint.hasAnnouncedEnd) return;
  const { cause, nowMs, sentBeforeMs = Infinity } = lost;
  const isCrashProven = cause === "restarted";
  const hasCrashed = cause !== "timedOut";
  for (const task of endpoint.runs.values()) {
    if (task.job.outcome || task.startSentMs >= sentBeforeMs) continue;
    if (state.countedStarts.has(task)) continue;
    if (!addLostRun(task, endpoint, { hasCrashed, isCrashProven, nowMs })) {
      continue;
    }
    clearCountedStart(state, task);
    state.suspects.add(task);
    recordLossChange(state, task.job);
    recordEvent(state, "runLost", {
      task: task.name,
      run: task.run,
      endpoint: endpoint.row.id,
      how: cause,
      ageMs: Math.round(nowMs - task.startSentMs),
      others: endpoint.runs.size - 1,
      losses: task.lostRuns.length,
    });
  }
}

/** Adds a lost run to its task, or adds to one that is known that the endpoint has crashed or that this is proven; returns whether anything changed. */
function addLostRun(
  task: ScheduledTask,
  { row, processStartMs, runs }: EndpointRecord,
  lost: { hasCrashed: boolean; isCrashProven: boolean; nowMs: number },
): boolean {
  const { hasCrashed, isCrashProven, nowMs } = lost;
  const known = task.lostRuns.find((one) =>
    one.endpointId === row.id && one.processStartMs === processStartMs
  );
  if (known) {
    const isNews = hasCrashed && !known.hasCrashed ||
      isCrashProven && !known.isCrashProven;
    known.hasCrashed ||= hasCrashed;
    known.isCrashProven ||= isCrashProven;
    return isNews;
  }
  const isGrouped = isSuspect(task) && runs.size > 1;
  task.lostRuns.push({
    endpointId: row.id,
    processStartMs,
    hasCrashed,
    isCrashProven,
    countsInFull: task.startConfirmedMs > 0 && !isGrouped,
    others: runs.size - 1,
    lostMs: nowMs,
    ageMs: nowMs - task.startSentMs,
  });
  return true;
}
