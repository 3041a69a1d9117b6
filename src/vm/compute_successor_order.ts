import type { VmReport } from "./vm_report.ts";

/** A VM with a mean event-loop delay of this or more comes after the others in the succession order, in ms. */
const MAX_LOOP_DELAY_MS = 20;

/** Computes the succession order of two VMs, by how well they can hold the scheduler role: negative when the first is better. */
export function computeSuccessorOrder(one: VmReport, other: VmReport): number {
  return Number(other.isStoreReachable) - Number(one.isStoreReachable) ||
    Number(one.slowedMs > 0) - Number(other.slowedMs > 0) ||
    Number(hasLowLoopDelay(other)) - Number(hasLowLoopDelay(one)) ||
    other.strength - one.strength;
}

/** Whether a VM's event-loop delay leaves time for a scheduler's work. */
function hasLowLoopDelay({ loopDelayMs }: VmReport): boolean {
  return loopDelayMs < MAX_LOOP_DELAY_MS;
}
