import { chooseOpenGroup } from "../evacuation/choose_open_group.ts";
import { chooseGroup } from "../decide/choose_group.ts";
import { isLikelyLate } from "../decide/is_likely_late.ts";
import { dropJob } from "./drop_job.ts";
import { recordEvent } from "./record_event.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Step between successive draws: the fractional part of the golden ratio, which spreads them evenly over 0 to 1. */
const DRAW_STEP = 0.618034;

/** Passes a job that has not started to another group that can start it at once; returns whether the job was passed. */
export function tryPassJob(
  state: SchedulerState,
  job: ScheduledJob,
  nowMs: number,
  options: {
    /** Whether this group can't run the job at all, so that it goes to any group that can run it, late or not. Default: false. */
    mustLeave?: boolean;
  } = {},
): boolean {
  const { mustLeave = false } = options;
  if (!canPass(state, job)) return false;
  if (!mustLeave && isLikelyLate(job, nowMs)) return false;
  const { id, service, steps } = job.order;
  const choose = mustLeave ? chooseOpenGroup : chooseGroup;
  const target = choose(
    { service, tasks: job.waitingTaskCount, cpu: steps[0].room.cpu },
    {
      capacities: mustLeave
        ? state.lastGroupCapacities
        : state.otherGroupCapacities,
      draw: (state.passedJobs.size * DRAW_STEP) % 1,
    },
  );
  if (!target) return false;
  target.places -= job.waitingTaskCount;
  const { group } = target;
  dropJob(state, job);
  state.waiting.delete(job);
  state.passedJobs.set(id, { group, passedMs: nowMs });
  state.effects.push({
    type: "notifyPassed",
    vms: [...job.vms],
    jobId: id,
    group,
  });
  recordEvent(state, "jobPassed", {
    job: id,
    group,
    places: target.places,
    waitedMs: Math.round(nowMs - job.arrivedMs),
  });
  return true;
}

/** Whether the job may go to another group: a best-effort job that has not started and was not passed here. */
function canPass(
  state: SchedulerState,
  job: ScheduledJob,
): boolean {
  const { isKept, wasPassed } = job.order;
  if (isKept || wasPassed || state.isSolo) return false;
  return !job.mayHaveStarted && !job.outcome && job.vms.size > 0;
}
