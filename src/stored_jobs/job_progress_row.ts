/** What must outlast every process of a stored job that has begun. */
export type JobProgressRow = {
  /** One bit a task, in the order of the job's tasks, base64; set when the task is done. */
  done: string;
  /** Failed runs that were taken note of: position of the task, how many, number of the latest. */
  failures: [task: number, count: number, run: number][];
};
