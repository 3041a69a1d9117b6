import type { JobOrder } from "../../src/scheduler/job_order.ts";

/** A job of the model, with what the scheduler can't know. */
export type ModelJob = {
  kind: string;
  atMs: number;
  order: JobOrder;
  /** Real work of each task on an average endpoint, in ms. */
  taskMs: number[];
  objectiveMs: number;
  worth: number;
};
