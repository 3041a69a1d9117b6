import { chooseGroup } from "../decide/choose_group.ts";
import { isLikelyLate } from "../decide/is_likely_late.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Spreads draws evenly: the fractional part of the golden ratio. */
const DRAW_STEP = 0.618034;

/** Passes a job that has not begun to another group that can start it at once; false when it stays. */
export function tryPassJob(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
): boolean {
  if (!canPass(state, job, nowMs)) return false;
  const { id, service, steps } = job.order;
  const room = chooseGroup(
    { service, tasks: job.waitingCount, cpu: steps[0].room.cpu },
    {
      rooms: state.otherGroupRooms,
      draw: (state.passed.size * DRAW_STEP) % 1,
    },
  );
  if (!room) return false;
  room.places -= job.waitingCount;
  const { group } = room;
  state.jobs.delete(id);
  state.waiting.delete(job);
  state.passed.set(id, { group, passedMs: nowMs });
  state.effects.push({
    type: "notifyPassed",
    vms: [...job.vms],
    jobId: id,
    group,
  });
  recordEvent(state, "jobPassed", {
    job: id,
    group,
    places: room.places,
    waitedMs: Math.round(nowMs - job.arrivedMs),
  });
  return true;
}

function canPass(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
): boolean {
  const { isKept, wasPassed } = job.order;
  if (isKept || wasPassed || state.isSolo) return false;
  return !job.mayHaveStarted && !job.outcome && job.vms.size > 0 &&
    !isLikelyLate(job, nowMs);
}
