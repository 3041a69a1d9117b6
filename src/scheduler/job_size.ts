/** What a job takes in memory. */
export type JobSize = {
  tasks: number;
  /** Memory of its order, in bytes. */
  bytes: number;
};
