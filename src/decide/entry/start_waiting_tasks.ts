import { dispatchTasks } from "../route/dispatch_tasks.ts";
import type { Dispatch } from "../route/dispatch.ts";
import { isLeaseValid } from "../own/is_lease_valid.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";

/** Starts waiting tasks at endpoints with free slots; does nothing unless the lease is valid. */
export function startWaitingTasks(
  state: EntryState,
  clock: ClockReading,
): void {
  if (!isLeaseValid(state.lease, clock)) return;
  const nowMs = clock.monotonicMs;
  for (const dispatch of dispatchTasks(state.scheduler, nowMs)) {
    startAttempt(state, dispatch, nowMs);
  }
}

function startAttempt(
  state: EntryState,
  dispatch: Dispatch,
  nowMs: number,
): void {
  const { job, index, endpointId } = dispatch;
  const id = state.nextAttemptId;
  state.nextAttemptId += 1;
  state.attempts.set(id, { id, job, index, endpointId, startedAtMs: nowMs });
  const task = job.tasks[index];
  state.outbox.push({
    type: "startTask",
    attemptId: id,
    endpointId,
    taskKey: `${job.key}/${index}`,
    attempt: task.attempts,
    request: task.request,
    deadlineAtMs: job.deadlineAtMs,
  });
}
