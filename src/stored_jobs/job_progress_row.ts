/** The progress of a stored job that has started and not ended: what a later scheduler needs to continue it. */
export type JobProgressRow = {
  /** Base64 text of one bit a task, in the order of the job's tasks; set when the task is done. */
  done: string;
  /**
   * Failed runs that count as attempts: a run number and, as in `done`, the
   * tasks of which the run of that number failed. Tasks that a scheduler starts
   * equally often have equal run numbers, so there are few entries.
   */
  failedRuns?: [run: number, tasks: string][];
  /**
   * Endpoints that went away with runs of the job: the start of the endpoint's
   * process, in Unix ms, whether that is presumed to have crashed, whether the
   * crash counts in full, the positions of the tasks whose runs were there,
   * whether the crash is proven, and how many runs were lost with each; the
   * last two are absent in the rows of earlier versions.
   */
  lostRuns?: [
    endpointId: string,
    processStartMs: number,
    hasCrashed: boolean,
    countsInFull: boolean,
    tasks: number[],
    isCrashProven?: boolean,
    others?: number,
  ][];
  /** Present if no task is known to have started: the row has doubtful starts only. */
  isUnstarted?: true;
  /** Tasks with doubtful starts, as in `done`: those with one at least, then those with two at least, and so on. */
  doubtfulStarts?: string[];
  /** The run numbers of doubtful starts, as far as they are known, each with its tasks as in `failedRuns`. Absent in the rows of earlier versions. */
  doubtfulRuns?: [run: number, tasks: string][];
};
