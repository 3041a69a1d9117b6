import { ChivegradeError } from "../errors/chivegrade_error.ts";
import type { Chart } from "./chart.ts";

/** Returns the state after an event; throws when the chart does not allow it. */
export function advanceChart<State extends string, Event extends string>(
  chart: Chart<State, Event>,
  state: State,
  event: Event,
): State {
  const reached = chart.next[state][event];
  if (reached === undefined) {
    throw new ChivegradeError("chartViolation", {
      found: `Chart '${chart.id}' allows no '${event}' in state '${state}'`,
      remedy: "Report this log line with the process's log: it is a defect",
    });
  }
  return reached as State;
}
