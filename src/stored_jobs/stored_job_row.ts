import type { JobOrder } from "../scheduler/job_order.ts";

/** A stored job that has not ended. */
export type StoredJobRow = {
  order: JobOrder;
  /** When it was accepted, by the clock of the VM that took it, in Unix ms. */
  acceptedAtMs: number;
};
