import { createMachine, getNextSnapshot } from "xstate";
import type { Chart } from "./chart.ts";
import type { ChartDefinition } from "./chart_definition.ts";

/** Loads a chart through xstate, which checks it, and flattens it to a table. */
export function loadChart<State extends string, Event extends string>(
  definition: ChartDefinition,
): Chart<State, Event> {
  const machine = createMachine(
    definition as Parameters<typeof createMachine>[0],
  );
  const next: Record<string, Record<string, string>> = {};
  for (const [state, node] of Object.entries(definition.states)) {
    next[state] = {};
    for (const type of Object.keys(node.on ?? {})) {
      const snapshot = machine.resolveState({ value: state, context: {} });
      const reached = getNextSnapshot(machine, snapshot, { type });
      next[state][type] = String(reached.value);
    }
  }
  return {
    id: definition.id,
    initial: definition.initial,
    next,
  } as unknown as Chart<State, Event>;
}
