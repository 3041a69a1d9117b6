/** A run whose endpoint became unresponsive, or was found to be restarted, before it listed the run's end. The run may have crashed the endpoint. */
export type LostRun = {
  endpointId: string;
  /** Start of the endpoint's process, in Unix ms; 0 if it never listed its runs. */
  processStartMs: number;
  /** Whether the endpoint's process is presumed to have ended, as its connections broke and new ones were refused; a partition may look the same. */
  hasCrashed: boolean;
  /** Whether that is proven: another process answers under the endpoint's id, or the endpoint has been absent for long enough. */
  isCrashProven: boolean;
  /** Whether a crash counts in full against the task: the endpoint had confirmed the start, so that the run had begun, and the run was not one of a group of suspects. */
  countsInFull: boolean;
  /** Number of runs that were lost with this one. */
  others: number;
  /** When the run was lost, by this scheduler's clock, in ms. */
  lostMs: number;
  /** Since when the store's list lacks the endpoint, in ms; absent while it is listed. */
  goneMs?: number;
  /** How long the run had been going on, in ms. */
  ageMs: number;
};
