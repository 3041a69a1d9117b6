import type { JobOrder } from "../scheduler/job_order.ts";

/** The row of a stored job that has not ended. */
export type StoredJobRow = {
  order: JobOrder;
  /** When the job was accepted, by the clock of the VM that accepted it, in Unix ms. */
  acceptedAtMs: number;
};
