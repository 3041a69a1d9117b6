import { advanceChart } from "../../charts/advance_chart.ts";
import { jobChart } from "../../charts/job_chart.ts";
import { createRefusal } from "../job/create_refusal.ts";
import type { FailureKind } from "../job/failure_kind.ts";
import type { JobState } from "../job/job_state.ts";
import { endJob } from "./end_job.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Refuses a job whose claim is not confirmed yet: withdraws the claim, answers
 * the callers, and removes the job from memory.
 */
export function refuseClaimingJob(
  state: EntryState,
  job: JobState,
  options: {
    kind: FailureKind;
    message: string;
    retryAfterMs?: number;
    nowMs: number;
  },
): void {
  job.phase = advanceChart(jobChart, job.phase, "refuse");
  withdrawClaim(job);
  const answer = createRefusal(options.kind, options);
  endJob(state, job, { answer, nowMs: options.nowMs });
  if (state.jobs.get(job.key) === job) state.jobs.delete(job.key);
}

/**
 * Removes the claim from the records to be appended; a claim that is already in
 * flight is withdrawn by a later record.
 */
function withdrawClaim(job: JobState): void {
  const { shard, key } = job;
  const countBefore = shard.claims.length;
  shard.claims = shard.claims.filter((record) =>
    record.type !== "claim" || record.key !== key
  );
  if (shard.claims.length < countBefore) return;
  shard.claims.push({ type: "withdrawn", key });
}
