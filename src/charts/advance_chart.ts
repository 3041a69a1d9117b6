import { ChivegradeError } from "../errors/chivegrade_error.ts";
import type { Chart } from "./chart.ts";

/** Returns the state that an event leads to; throws `chartViolation` when the chart has no such transition. */
export function advanceChart<State extends string, Event extends string>(
  chart: Chart<State, Event>,
  state: State,
  event: Event,
): State {
  const nextState = chart.next[state][event];
  if (nextState === undefined) {
    throw new ChivegradeError("chartViolation", {
      found: `Chart '${chart.id}' allows no '${event}' in state '${state}'`,
      remedy: "Report this log line with the process's log: it is a defect",
    });
  }
  return nextState as State;
}
