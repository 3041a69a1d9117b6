import type { StepOrder } from "./step_order.ts";

/** A job as a VM submits it to the scheduler. */
export type JobOrder = {
  id: string;
  /** Route of the caller's request. Jobs of one route have similar run times. */
  route: string;
  /** The service whose endpoints run the tasks. */
  service: string;
  /** Specification that is sent to the endpoints; the scheduler does not interpret it. */
  spec: string;
  steps: StepOrder[];
  /** 0 is the most urgent. */
  priority: number;
  /** Number of failed runs of a task at which the job fails. */
  maxAttempts: number;
  /** The latency objective is this many times the critical path, plus `slackMs`. */
  stretch: number;
  /** Fixed part of the latency objective, in ms. */
  slackMs: number;
  /** Time since the VM received the caller's request, in ms. */
  ageMs: number;
  /** How long the caller waits for the answer, counted from its request, in ms. */
  waitMs: number;
  /** Whether another group's scheduler passed the job here; it is not passed again. Default: false. */
  wasPassed?: boolean;
  /** Whether this is a stored job: its caller was answered once it was stored, and it runs to its end whether or not a caller waits. Default: false. */
  isKept?: boolean;
};
