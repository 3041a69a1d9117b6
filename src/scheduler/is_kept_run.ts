/** Whether a run is of a stored job, whichever scheduler began it: those have even numbers, all others odd ones. */
export function isKeptRun(run: number): boolean {
  return run % 2 === 0;
}
