import { createMachine, getNextSnapshot } from "xstate";
import type { Chart } from "./chart.ts";
import type { ChartDefinition } from "./chart_definition.ts";

/** Converts a state chart to a table. xstate checks the definition and computes each transition. */
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
      const nextSnapshot = getNextSnapshot(machine, snapshot, { type });
      next[state][type] = String(nextSnapshot.value);
    }
  }
  return {
    id: definition.id,
    initial: definition.initial,
    next,
  } as unknown as Chart<State, Event>;
}
