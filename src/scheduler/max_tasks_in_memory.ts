/** Largest number of tasks in memory of stored jobs, and of best-effort jobs. A task takes about 1 KB, and the smallest VM's heap 160 MB. */
export const MAX_TASKS_IN_MEMORY = 30_000;
