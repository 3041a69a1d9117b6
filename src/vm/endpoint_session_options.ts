import type { SchedulerState } from "../scheduler/scheduler_state.ts";

/** What the sessions of a scheduler's endpoints have in common. */
export type EndpointSessionOptions = {
  state: SchedulerState;
  /** Runs a decision on the state and carries out its effects. */
  applyDecision: (decide: (nowMs: number) => void) => void;
  /** Called when an endpoint refuses an order because it obeys a later scheduler. */
  onSuperseded: (endpointId: string) => void;
};
