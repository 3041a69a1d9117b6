import type { EndpointRecord } from "./endpoint_record.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Whether the endpoint may have run ends that its latest listing does not
 * show, because that listing has as many as the endpoint lists at a time. A
 * run that is missing from such a listing may have ended in any way.
 */
export function hasHiddenEnds(
  { limits }: Pick<SchedulerState, "limits">,
  { listedEndCount }: EndpointRecord,
): boolean {
  return listedEndCount >= limits.maxListedEnds;
}
