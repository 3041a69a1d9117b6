/** Returns the time since the start of the process, in ms, from a clock that is never set back. */
export function readMonotonicMs(): number {
  return performance.now();
}
