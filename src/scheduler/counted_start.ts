/** A start that is requested once the store counts it. */
export type CountedStart = {
  run: number;
  /** The run that is considered ended; 0: none. */
  earlierRun: number;
  /** Number of the change of the job's lost runs with which the start is counted. */
  lossChange: number;
  /** When the start was counted, in ms. */
  countedMs: number;
};
