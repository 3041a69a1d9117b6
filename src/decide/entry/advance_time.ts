import { advanceChart } from "../../charts/advance_chart.ts";
import { leaseChart } from "../../charts/lease_chart.ts";
import { probeRestedEndpoints } from "../eject/probe_rested_endpoints.ts";
import { isLeaseValid } from "../own/is_lease_valid.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";
import { failJob } from "./fail_job.ts";
import { forgetOldJobs } from "./forget_old_jobs.ts";
import { refuseClaimingJob } from "./refuse_claiming_job.ts";
import { reviewClaims } from "./review_claims.ts";

/** Applies what the passing of time alone decides: lapses, deadlines, waits, probes. */
export function advanceTime(state: EntryState, clock: ClockReading): void {
  lapseLease(state, clock);
  reviewClaims(state, clock);
  failLateJobs(state, clock.monotonicMs);
  probeRestedEndpoints(state.scheduler.endpoints.values(), clock.monotonicMs);
  forgetOldJobs(state, clock);
}

/** A lapsed process starts nothing more, so jobs with unsent tasks fail at once. */
function lapseLease(state: EntryState, clock: ClockReading): void {
  if (state.lease.phase !== "held" || isLeaseValid(state.lease, clock)) return;
  state.lease.phase = advanceChart(leaseChart, state.lease.phase, "lapse");
  const nowMs = clock.monotonicMs;
  const kind = "platformUnavailable";
  const message =
    "This entry's lease ran out while the platform was out of reach; check what ran before submitting under a new id";
  for (const job of state.jobs.values()) {
    if (job.answer) continue;
    if (job.phase === "claiming") {
      refuseClaimingJob(state, job, { kind, message, nowMs });
    } else if (job.tasks.some((task) => task.phase === "waiting")) {
      failJob(state, job, { failure: { kind, message }, nowMs });
    }
  }
}

function failLateJobs(state: EntryState, nowMs: number): void {
  const kind = "deadlineExceeded";
  const message =
    "The job's deadline passed; submit under a new id with a longer one";
  let job = state.deadlines.peek();
  while (job && (job.answer || job.deadlineAtMs <= nowMs)) {
    state.deadlines.pop();
    if (!job.answer && job.phase === "claiming") {
      refuseClaimingJob(state, job, { kind, message, nowMs });
    } else if (!job.answer) {
      failJob(state, job, { failure: { kind, message }, nowMs });
    }
    job = state.deadlines.peek();
  }
}
