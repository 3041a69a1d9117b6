/**
 * Fraction of a service's capacity that is reserved for jobs that can still
 * meet their latency objective.
 */
const RESERVED_FRACTION = 0.15;

/**
 * Returns whether a job that will miss its latency objective may start.
 * Without this check, late jobs in a burst would use the capacity that later
 * jobs need, so that the later jobs would miss their objectives as well.
 * `capacity` is that of the job's service, in thousandths of a core.
 */
export function canStartLateJob(
  capacity: { free: number; total: number },
): boolean {
  return capacity.free > RESERVED_FRACTION * capacity.total;
}
