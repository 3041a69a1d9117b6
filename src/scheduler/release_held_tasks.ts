import { countHeldStart } from "./count_held_start.ts";
import { forgetHeldStart } from "./forget_held_start.ts";
import { hasHiddenEnds } from "./has_hidden_ends.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** How long an endpoint that left the store's list without answering may still have active runs, in ms; longer than network partitions usually last. */
const MISSING_ENDPOINT_MS = 15_000;

/** Rest of a hold in which an endpoint that has not listed its runs counts as a trace of a crash, in ms; leaves time to save that before the hold ends. */
const CRASH_TRACE_MS = 1_000;
/** Largest difference between the time of day at an endpoint and here, in ms. */
const MAX_CLOCK_ERROR_MS = 5_000;

/** Releases held tasks once the endpoints that may run them have listed their runs, or the hold has timed out. */
export function releaseHeldTasks(state: SchedulerState, nowMs: number): void {
  for (const [id, missingSinceMs] of state.missingEndpoints) {
    if (nowMs - missingSinceMs > MISSING_ENDPOINT_MS) {
      state.missingEndpoints.delete(id);
    }
  }
  const endpoints = [...state.endpoints.values()];
  const areAllListed = !state.isSolo && state.endpoints.size > 0 &&
    state.missingEndpoints.size === 0 &&
    endpoints.every(({ phase }) => phase === "usable");
  const mayHideEnds = endpoints.some((one) => hasHiddenEnds(state, one));
  const oldestMs = findOldestListing(state);
  const youngestMs = findYoungestProcess(state);
  let doubts = 0;
  for (const job of state.waiting) {
    const isAnyYounger = youngestMs >
      computeAcceptedUnixMs(state, job) - MAX_CLOCK_ERROR_MS;
    for (const task of job.tasks) {
      if (task.heldUntilMs === 0) continue;
      const hasTrace = isAnyYounger ||
        nowMs > task.heldUntilMs - CRASH_TRACE_MS;
      if (hasTrace && countHeldStart(state, task)) doubts += 1;
      // A hidden end may be that of the task.
      if (mayHideEnds && job.order.isKept) continue;
      const isTimedOut = nowMs > task.heldUntilMs;
      const isReady = areAllListed && isRunRuledOut(state, task, oldestMs);
      if (!isTimedOut && !isReady) continue;
      task.heldUntilMs = 0;
      if (!hasTrace) forgetHeldStart(state, task);
    }
  }
  if (doubts > 0) recordEvent(state, "startsInDoubt", { tasks: doubts });
}

/** Finds when the youngest of all endpoints' processes began, as a Unix time in ms. */
function findYoungestProcess(state: SchedulerState): number {
  let youngestMs = 0;
  for (const { processStartMs } of state.endpoints.values()) {
    youngestMs = Math.max(youngestMs, processStartMs);
  }
  return youngestMs;
}

/** Computes when the job was accepted, as a Unix time in ms. */
function computeAcceptedUnixMs(
  { startedUnixMs, startedMs }: SchedulerState,
  { arrivedMs }: ScheduledJob,
): number {
  return startedUnixMs + arrivedMs - startedMs;
}

/** Finds when the oldest of all endpoints' latest listings was requested, in ms. */
function findOldestListing(state: SchedulerState): number {
  let oldestMs = Infinity;
  for (const { listingRequestedMs } of state.endpoints.values()) {
    oldestMs = Math.min(oldestMs, listingRequestedMs);
  }
  return oldestMs;
}

/** Whether a recent enough listing of the task's last known endpoint, or of every endpoint where that is unknown, shows no foreign run of the task. */
function isRunRuledOut(
  state: SchedulerState,
  task: ScheduledTask,
  oldestMs: number,
): boolean {
  if (task.endpointId === undefined) {
    return oldestMs >= task.listingsValidFromMs;
  }
  const endpoint = state.endpoints.get(task.endpointId);
  return endpoint?.phase === "usable" &&
    endpoint.listingRequestedMs >= task.listingsValidFromMs &&
    !endpoint.foreignRuns.has(task.name);
}
