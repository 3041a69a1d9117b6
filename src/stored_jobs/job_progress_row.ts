/** The progress of a stored job that has started and not ended: what a later scheduler needs to continue it. */
export type JobProgressRow = {
  /** Base64 text of one bit a task, in the order of the job's tasks; set when the task is done. */
  done: string;
  /** Failed runs that count as attempts: position of the task, number of failed runs, number of the latest failed run. */
  failures: [task: number, count: number, run: number][];
};
