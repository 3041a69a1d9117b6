/** A VM's knowledge of the progress of a job that it submits, possibly after an earlier scheduler has started it. */
export type KnownProgress = {
  /** Names of the tasks that are done. */
  done: string[];
  /** Tasks that were placed, by name, each with the id of its endpoint. */
  placed: { task: string; endpointId: string }[];
  /** Whether the job was submitted to another scheduler before. */
  isResubmitted: boolean;
  /** Whether the VM ran the job in solo mode, under a later fencing token than this scheduler's. */
  wasSolo: boolean;
};
