import { advanceChart } from "../../charts/advance_chart.ts";
import { jobChart } from "../../charts/job_chart.ts";
import type { JobState } from "../job/job_state.ts";
import { recordOutcome } from "./record_outcome.ts";
import { endJob } from "./end_job.ts";
import type { EntryState } from "./entry_state.ts";

/** Ends a job whose tasks have all succeeded, and answers its callers with the results. */
export function completeJob(
  state: EntryState,
  job: JobState,
  nowMs: number,
): void {
  job.phase = advanceChart(jobChart, job.phase, "complete");
  const results = job.tasks.map((task) => task.result as string);
  const { key, digest, shard } = job;
  recordOutcome(shard, { type: "complete", key, digest }, nowMs);
  endJob(state, job, { answer: { status: "complete", results }, nowMs });
}
