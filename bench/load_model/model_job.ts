import type { JobOrder } from "../../src/scheduler/job_order.ts";

/** A job of the load model: its order, and the actual work that the scheduler does not know. */
export type ModelJob = {
  kind: string;
  /** Time of arrival, in ms from the start. */
  atMs: number;
  order: JobOrder;
  /** Actual run time of each task at an endpoint of speed 1, in ms. */
  taskMs: number[];
  /** Latency objective, in ms. */
  objectiveMs: number;
  /** Credit that the job earns when it completes within its objective. */
  credit: number;
};
