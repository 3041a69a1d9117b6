/** Reads the runtime's monotonic clock, in ms. */
export function readMonotonicMs(): number {
  return performance.now();
}
