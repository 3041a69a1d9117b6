/** Highest rank; VMs further down the succession order get this rank too, which bounds their wait. */
const MAX_RANK = 10;

/**
 * Computes the succession rank of a VM: how many others may try to become the
 * scheduler before it when there is no scheduler. The VMs' processors differ,
 * and the weakest cannot schedule a whole group. VMs that were linked to the
 * last scheduler follow its succession order, strongest first. A VM outside of
 * that order, such as one that has just started, is ranked by its own strength.
 */
export function computeSuccessionRank(vm: {
  /** Index in the last scheduler's succession order, from 0; -1 when the VM is not in it. */
  successionIndex: number;
  /** Processor time that the VM gets, in cores. */
  strength: number;
}): number {
  if (vm.successionIndex >= 0) return Math.min(vm.successionIndex, MAX_RANK);
  return Math.round((1 - Math.min(1, vm.strength)) * MAX_RANK);
}
