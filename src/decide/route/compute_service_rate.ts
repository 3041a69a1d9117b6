import type { SchedulerState } from "./scheduler_state.ts";

/** Computes the run time at an average endpoint that a service's endpoints get through per ms. */
export function computeServiceRate(
  scheduler: SchedulerState,
  service: string,
): number {
  let rate = 0;
  for (const endpoint of scheduler.byService.get(service) ?? []) {
    if (endpoint.closed || endpoint.phase === "ejected") continue;
    rate += endpoint.limit / endpoint.slowness;
  }
  return rate;
}
