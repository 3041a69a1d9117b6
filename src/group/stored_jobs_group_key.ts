/** Key of the row that names the group whose scheduler runs the stored jobs. It is in the table of the heartbeats, which the schedulers of all groups read at short intervals. */
export const STORED_JOBS_GROUP_KEY = "chivegrade-beat/scheduler-stored-jobs";
