import { findOrderFault } from "../scheduler/find_order_fault.ts";
import type { JobOrder } from "../scheduler/job_order.ts";
import { STORED_JOB_LIMITS } from "../scheduler/stored_job_limits.ts";
import type { TableRow } from "../store/table_row.ts";
import { isPlainObject } from "../utils/is_plain_object.ts";

/** Decodes the row of the stored job `id`, which any version of the program may have written; `found` names what forbids to carry it out. */
export function decodeStoredJob(
  { value }: TableRow,
  id: string,
):
  | { type: "job"; order: JobOrder; acceptedAtMs: number }
  | { type: "malformed"; found: string } {
  if (!isPlainObject(value)) {
    return { type: "malformed", found: "the row has no readable value" };
  }
  const { order, acceptedAtMs } = value;
  if (typeof acceptedAtMs !== "number" || !isPlainObject(order)) {
    return { type: "malformed", found: "the row lacks its order or its time" };
  }
  if (order.id !== id) {
    return { type: "malformed", found: "the row belongs to another job" };
  }
  const fault = findOrderFault(order, STORED_JOB_LIMITS);
  if (fault) return { type: "malformed", found: fault.found };
  return { type: "job", order: order as JobOrder, acceptedAtMs };
}
