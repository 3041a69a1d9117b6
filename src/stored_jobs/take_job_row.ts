import { failMalformedJob } from "../scheduler/fail_malformed_job.ts";
import { hasSpaceForJob } from "../scheduler/has_space_for_job.ts";
import { measureJob } from "../scheduler/measure_job.ts";
import { recordEvent } from "../scheduler/record_event.ts";
import type { SchedulerState } from "../scheduler/scheduler_state.ts";
import { submitStoredJob } from "../scheduler/submit_stored_job.ts";
import type { TableRow } from "../store/table_row.ts";
import { decodeProgress } from "./decode_progress.ts";
import { decodeStoredJob } from "./decode_stored_job.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

/**
 * Submits the job of a row, unless it is known. Fails a job whose row is
 * malformed. Postpones one while there is no space for it; a smaller one
 * that was stored later does not wait for it. An earlier scheduler may have
 * started a postponed job, so its run ends stay listed until it is read.
 */
export function takeJobRow(
  state: SchedulerState,
  row: TableRow,
  from: {
    id: string;
    progress?: JobProgressRow;
    /** Whether an earlier scheduler may have started the job. */
    mayHaveRun: boolean;
    /** Whether the job was postponed, and there is space for its tasks by now. */
    wasPostponed: boolean;
    nowMs: number;
  },
): void {
  const { id, progress, mayHaveRun, wasPostponed, nowMs } = from;
  if (state.jobs.has(id) || state.postponedJobs.has(id)) return;
  const decoded = decodeStoredJob(row, id);
  if (decoded.type === "malformed") {
    failMalformedJob(state, { id, found: decoded.found }, nowMs);
    return;
  }
  const { order, acceptedAtMs } = decoded;
  const size = measureJob(order);
  const hasSpace = wasPostponed ||
    hasSpaceForJob(state, { ...size, isKept: true });
  if (!hasSpace) {
    state.postponedJobs.set(id, size);
    recordEvent(state, "jobPostponed", { job: id, tasks: size.tasks });
    return;
  }
  const ageMs = Math.max(0, Date.now() - acceptedAtMs);
  submitStoredJob(state, { ...order, ageMs, isKept: true }, {
    nowMs,
    mayHaveRun,
    progress: progress && decodeProgress(progress, order),
  });
}
