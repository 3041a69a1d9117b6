import { countEvacuatedRuns } from "../evacuation/count_evacuated_runs.ts";
import { formatLabels } from "../metrics/format_labels.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Reads the scheduler's gauges for the metrics: its queues, the capacity of its endpoints and the age of the oldest listing, by metric name. */
export function describeGauges(
  state: SchedulerState,
  nowMs: number,
): Record<string, number> {
  const endpoints = [...state.endpoints.values()];
  const usable = endpoints.filter(({ phase }) => phase === "usable");
  const freeCpu = usable
    .map(({ row, used }) => Math.max(0, row.room.cpu - used.cpu));
  const ages = usable
    .map(({ listingRequestedMs }) => nowMs - listingRequestedMs);
  return {
    scheduler_jobs: state.jobs.size,
    scheduler_waiting_jobs: state.waiting.size,
    scheduler_unsaved_jobs: state.unsaved.size,
    scheduler_postponed_jobs: state.postponedJobs.size,
    scheduler_tasks: state.taskCounts.stored + state.taskCounts.unstored,
    endpoints_isolated: endpoints
      .filter(({ isolatedTask }) => isolatedTask).length,
    scheduler_suspect_tasks: state.suspects.size,
    scheduler_running_tasks: endpoints
      .reduce((sum, { runs }) => sum + runs.size, 0),
    ...Object.fromEntries(
      [...countEvacuatedRuns(state)].map(([name, count]) => [
        `evacuated_running_tasks${formatLabels({ data_centre: name })}`,
        count,
      ]),
    ),
    endpoints_known: endpoints.length,
    endpoints_usable: usable.length,
    endpoints_free_millicores: freeCpu.reduce((sum, free) => sum + free, 0),
    endpoints_oldest_listing_ms: Math.round(Math.max(0, ...ages)),
  };
}
