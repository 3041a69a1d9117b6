import type { JobOrder } from "./job_order.ts";

/** Memory of a step without its texts and dependencies, in bytes. */
const STEP_BYTES = 300;
/** Memory of a dependency on another step, in bytes. */
const DEPENDENCY_BYTES = 8;

/** Estimates the memory that a job order takes, in bytes. */
export function countOrderBytes({ spec, steps }: JobOrder): number {
  let bytes = Buffer.byteLength(spec);
  for (const { after, rack = "", requiredLabel = "" } of steps) {
    bytes += STEP_BYTES + after.length * DEPENDENCY_BYTES +
      Buffer.byteLength(rack) + Buffer.byteLength(requiredLabel);
  }
  return bytes;
}
