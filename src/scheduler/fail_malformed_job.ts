import { createJob } from "./create_job.ts";
import { endJob } from "./end_job.ts";
import type { JobOrder } from "./job_order.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Ends a stored job whose row cannot be carried out as failed, so that its callers get an answer and the row is not read again. */
export function failMalformedJob(
  state: SchedulerState,
  job: { id: string; found: string },
  nowMs: number,
): void {
  const { id, found } = job;
  if (state.jobs.has(id)) return;
  recordEvent(state, "orderRefused", { job: id, found });
  const malformed = createJob(state, createEmptyOrder(id), nowMs);
  state.jobs.set(id, malformed);
  state.hasKeptJobs = true;
  const outcome = { type: "failed", reason: "malformed" } as const;
  endJob(state, malformed, { outcome, nowMs });
}

function createEmptyOrder(id: string): JobOrder {
  return {
    id,
    route: "",
    service: "",
    spec: "",
    steps: [],
    priority: 0,
    maxAttempts: 0,
    stretch: 0,
    slackMs: 0,
    ageMs: 0,
    waitMs: 0,
    isKept: true,
  };
}
