/** The row that names the group whose scheduler runs the stored jobs; while there is none, the first group does. */
export type StoredJobsGroupRow = { group: string };
