/** Prefix of the keys of all groups' scheduler rows. */
export const SCHEDULER_ROWS_PREFIX = "chivegrade/scheduler";
