import type { JobState } from "../decide/job/job_state.ts";
import type { JobRecord } from "./job_record.ts";

/** Describes to which endpoint each task of a job was routed, and why. */
export function describeJob(job: JobState): JobRecord {
  return {
    job: job.key,
    phase: job.phase,
    claim: job.claim,
    shard: job.shard.index,
    epoch: job.shard.epoch,
    tasks: job.tasks.map((task, index) => ({
      index,
      service: task.request.service,
      phase: task.phase,
      attempts: task.attempts,
      endpoint: task.endpointId ?? null,
      triedEndpoints: task.triedEndpoints,
      expectedMs: Math.round(task.expectedMs),
      reason: task.reason,
    })),
  };
}
