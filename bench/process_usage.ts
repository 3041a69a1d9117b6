/** CPU time that a process has used since its start, in ms, and its resident memory, in bytes. */
export type ProcessUsage = { cpuMs: number; rssBytes: number };
