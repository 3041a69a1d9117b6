/** Begins the keys of the rows that say who places tasks, of all groups. */
export const SCHEDULER_ROWS_PREFIX = "chivegrade/scheduler";
