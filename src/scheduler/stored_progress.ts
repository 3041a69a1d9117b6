/** What the store knows of a job that an earlier scheduler had begun. */
export type StoredProgress = {
  /** By the position of the task. */
  done: boolean[];
  /** Failed runs: position of the task, how many, number of the latest. */
  failures: { task: number; count: number; run: number }[];
};
