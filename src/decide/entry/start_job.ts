import { advanceChart } from "../../charts/advance_chart.ts";
import { jobChart } from "../../charts/job_chart.ts";
import { taskChart } from "../../charts/task_chart.ts";
import type { JobState } from "../job/job_state.ts";
import { changeWaitingCounts } from "../route/change_waiting_counts.ts";
import { enqueueTask } from "../route/enqueue_task.ts";
import type { EntryState } from "./entry_state.ts";

/** Enqueues the tasks of a claimed job. */
export function startJob(state: EntryState, job: JobState): void {
  job.phase = advanceChart(jobChart, job.phase, "claim");
  job.tasks.forEach((task, index) => {
    task.phase = advanceChart(taskChart, task.phase, "enqueue");
    task.reason = "waits for a free slot";
    changeWaitingCounts(state.scheduler, job, { index, by: 1 });
    enqueueTask(state.scheduler, { job, index });
  });
}
