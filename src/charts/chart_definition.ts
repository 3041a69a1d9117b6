/** A state chart as a file in charts/ defines it, in the format of xstate. */
export type ChartDefinition = {
  id: string;
  initial: string;
  states: Record<string, { type?: string; on?: Record<string, string> }>;
};
