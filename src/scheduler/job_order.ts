import type { StepOrder } from "./step_order.ts";

/** A job as a VM hands it to the scheduler. */
export type JobOrder = {
  id: string;
  /** The route the caller used; jobs of a route resemble one another. */
  route: string;
  /** The service whose endpoints run the tasks. */
  service: string;
  /** What the endpoints run, opaque to us. */
  spec: string;
  steps: StepOrder[];
  /** 0 goes first. */
  priority: number;
  /** Runs that may fail before the task counts as failed. */
  maxAttempts: number;
  /** The objective is this many times the longest chain of work, plus `slackMs`. */
  stretch: number;
  slackMs: number;
  /** Time since the VM received the request, in ms. */
  ageMs: number;
  /** How long the caller waits for the answer, from the request on, in ms. */
  waitMs: number;
  /** Another group's scheduler had no room for it; it is not passed on again. Default: false. */
  wasPassed?: boolean;
  /** The job is stored, and its caller was answered when it was: it is run to its end whoever waits. Default: false. */
  isKept?: boolean;
};
