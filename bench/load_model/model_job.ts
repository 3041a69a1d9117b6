import type { JobOrder } from "../../src/scheduler/job_order.ts";

/** A job of the load model: its order, and the actual work that the scheduler does not know. */
export type ModelJob = {
  kind: string;
  /** Data centre of the caller. */
  dataCentre: string;
  /** Time of arrival, in ms from the start. */
  atMs: number;
  order: JobOrder;
  /** Actual run time of each task at an endpoint of speed 1, in ms. */
  taskMs: number[];
  /** CPU time of all tasks at endpoints of speed 1, in core-ms. */
  work: number;
  /** Latency objective, in ms. */
  objectiveMs: number;
  /** Credit that the job earns when it completes within its objective. */
  credit: number;
};
