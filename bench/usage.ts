/** What a process has used so far. */
export type Usage = { cpuMs: number; rssBytes: number };
