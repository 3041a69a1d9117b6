import { jobChart } from "../../charts/job_chart.ts";
import { taskChart } from "../../charts/task_chart.ts";
import type { Admission } from "../admit/admission.ts";
import type { JobRequest } from "../job/job_request.ts";
import type { JobState } from "../job/job_state.ts";
import type { TaskState } from "../job/task_state.ts";
import { computeQueueRank } from "../order/compute_queue_rank.ts";
import type { ShardState } from "../own/shard_state.ts";
import { findOrCreateClientShare } from "../route/find_or_create_client_share.ts";
import { countRequestBytes } from "../job/count_request_bytes.ts";
import { changeJobBytes } from "./change_job_bytes.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Creates the state of an admitted job and adds its claim to the records to be
 * appended to the shard log.
 */
export function claimJob(
  state: EntryState,
  shard: ShardState,
  options: {
    request: JobRequest;
    key: string;
    digest: string;
    callerId: string;
    admission: Admission & { type: "admitted" };
    weight: number;
    nowMs: number;
  },
): JobState {
  const { request, key, digest, admission, nowMs } = options;
  const job: JobState = {
    key,
    client: request.client,
    submissionId: request.submissionId,
    shard,
    digest,
    phase: jobChart.initial,
    claim: "pending",
    tasks: createTasks(request, admission.expectedMs),
    bytes: 0,
    unfinishedTasks: request.tasks.length,
    admittedAtMs: nowMs,
    deadlineAtMs: nowMs + request.deadlineMs,
    rank: computeQueueRank(nowMs, admission.workMs),
    callers: [options.callerId],
  };
  state.jobs.set(key, job);
  changeJobBytes(state, job, countRequestBytes(request.tasks));
  state.jobsByDeadline.push(job, job.deadlineAtMs);
  const share = findOrCreateClientShare(
    state.scheduler,
    job.client,
    options.weight,
  );
  share.open += job.tasks.length;
  shard.openJobs += 1;
  shard.claims.push({ type: "claim", key, digest });
  return job;
}

function createTasks(request: JobRequest, expectedMs: number[]): TaskState[] {
  return request.tasks.map((task, index) => ({
    request: task,
    phase: taskChart.initial,
    attempts: 0,
    failures: 0,
    triedEndpoints: [],
    expectedMs: expectedMs[index],
    startedAtMs: 0,
    mayHaveRun: false,
    reason: "waits for its claim",
  }));
}
