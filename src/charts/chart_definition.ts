/** A state chart as written in a file under charts/. */
export type ChartDefinition = {
  id: string;
  initial: string;
  states: Record<string, { type?: string; on?: Record<string, string> }>;
};
