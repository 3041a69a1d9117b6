import type { SchedulerState } from "../scheduler/scheduler_state.ts";

/** Whether tasks may start in a data centre: it is not evacuated. Where the settings give a bound for evacuations, nothing starts before they are known. */
export function canStartIn(
  { evacuations, limits }: Pick<SchedulerState, "evacuations" | "limits">,
  dataCentre: string,
): boolean {
  if (!evacuations) return limits.evacuateMs === undefined;
  return !evacuations.dataCentres.includes(dataCentre);
}
