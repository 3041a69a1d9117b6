/** Tables of stored jobs. A row leaves the first two when its job ends. */
const JOBS = "chivegrade-jobs/";
const PROGRESS = "chivegrade-progress/";
const ENDS = "chivegrade-ends/";
/** After the id in the key of a row that asks for a job to be cancelled. */
const CANCEL = ".cancel";

/** Keys of the rows of stored jobs. */
export const STORED_JOB_KEYS = {
  jobs: JOBS,
  progress: PROGRESS,
  ends: ENDS,
  formatJob: (id: string) => `${JOBS}${id}`,
  formatCancel: (id: string) => `${JOBS}${id}${CANCEL}`,
  formatProgress: (id: string) => `${PROGRESS}${id}`,
  formatEnd: (id: string) => `${ENDS}${id}`,
  /** Reads the id, and whether the row asks for a cancel, out of a key of the jobs' table. */
  parseJob: (key: string) => {
    const name = key.slice(JOBS.length);
    return name.endsWith(CANCEL)
      ? { id: name.slice(0, -CANCEL.length), isCancel: true }
      : { id: name, isCancel: false };
  },
  parseId: (key: string) => key.slice(key.indexOf("/") + 1),
};
