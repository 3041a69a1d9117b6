/** Whether a run number belongs to a stored job: every scheduler gives these runs even numbers and all others odd ones. */
export function isStoredJobRun(run: number): boolean {
  return run % 2 === 0;
}
