/** A later place in the order of succession waits no longer than this one. */
const LAST_RANK = 10;

/**
 * Computes how many others a VM lets go first when a scheduler is missing.
 * Load it answers: VMs of unequal processors, the weakest of which can't carry
 * a group. Those linked to the last scheduler go in its order, strongest
 * first; one that knows no order, as it has just started, goes by what it has.
 */
export function computeSuccessionRank(vm: {
  /** Place in the last scheduler's order, from 0; -1 when it is in none. */
  successionIndex: number;
  /** Cores' worth of processor time. */
  strength: number;
}): number {
  if (vm.successionIndex >= 0) return Math.min(vm.successionIndex, LAST_RANK);
  return Math.round((1 - Math.min(1, vm.strength)) * LAST_RANK);
}
