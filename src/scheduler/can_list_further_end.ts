import type { EndpointRecord } from "./endpoint_record.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Whether the endpoint can list the ends of its runs and of one further run, even if none of those listed so far is acknowledged. */
export function canListFurtherEnd(
  { limits }: Pick<SchedulerState, "limits">,
  { listedEndCount, runs }: EndpointRecord,
): boolean {
  return listedEndCount + runs.size + 1 < limits.maxListedEnds;
}
