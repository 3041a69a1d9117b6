/** Tables of stored jobs, with the slash of the key. When a job ends, its rows in the tables of jobs and of progress are deleted. */
const JOBS = "chivegrade-jobs/";
const PROGRESS = "chivegrade-progress/";
const ENDS = "chivegrade-ends/";
/** Suffix of the key of a cancel request, after the job's id. */
const CANCEL = ".cancel";

/** Formats and parses the keys of the rows of stored jobs. */
export const STORED_JOB_KEYS = {
  jobs: JOBS,
  progress: PROGRESS,
  ends: ENDS,
  formatJob: (id: string) => `${JOBS}${id}`,
  formatCancel: (id: string) => `${JOBS}${id}${CANCEL}`,
  formatProgress: (id: string) => `${PROGRESS}${id}`,
  formatEnd: (id: string) => `${ENDS}${id}`,
  /** Parses a key of the job table: the job's id, and whether the row is a cancel request. */
  parseJob: (key: string) => {
    const name = key.slice(JOBS.length);
    return name.endsWith(CANCEL)
      ? { id: name.slice(0, -CANCEL.length), isCancelRequest: true }
      : { id: name, isCancelRequest: false };
  },
  /** Parses the job's id from a key of any of the tables, other than of a cancel request. */
  parseId: (key: string) => key.slice(key.indexOf("/") + 1),
};
