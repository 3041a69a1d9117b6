import { advanceChart } from "../../charts/advance_chart.ts";
import { leaseChart } from "../../charts/lease_chart.ts";
import { probeEjectedEndpoints } from "../eject/probe_ejected_endpoints.ts";
import { isLeaseValid } from "../own/is_lease_valid.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";
import { failJob } from "./fail_job.ts";
import { evictEndedJobs } from "./evict_ended_jobs.ts";
import { refuseClaimingJob } from "./refuse_claiming_job.ts";
import { checkPendingClaims } from "./check_pending_claims.ts";

/**
 * Applies the changes that are due by time: expiry of the lease, claims that
 * waited too long, deadlines of jobs, probes of ejected endpoints, and eviction
 * of ended jobs.
 */
export function advanceTime(state: EntryState, clock: ClockReading): void {
  expireLease(state, clock);
  checkPendingClaims(state, clock);
  failLateJobs(state, clock.monotonicMs);
  probeEjectedEndpoints(state.scheduler.endpoints.values(), clock.monotonicMs);
  evictEndedJobs(state, clock);
}

/**
 * Marks the lease as expired if it is. No more tasks may start then, so jobs
 * whose claims are not confirmed are refused, and jobs with waiting tasks fail.
 */
function expireLease(state: EntryState, clock: ClockReading): void {
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
  let job = state.jobsByDeadline.peek();
  while (job && (job.answer || job.deadlineAtMs <= nowMs)) {
    state.jobsByDeadline.pop();
    if (!job.answer && job.phase === "claiming") {
      refuseClaimingJob(state, job, { kind, message, nowMs });
    } else if (!job.answer) {
      failJob(state, job, { failure: { kind, message }, nowMs });
    }
    job = state.jobsByDeadline.peek();
  }
}
