/** Backlog above which stored jobs are refused: about the longest latency objective of a job. */
const MAX_BACKLOG_MS = 2_000;

/**
 * Returns whether a new stored job is refused because the backlog of its
 * service, in ms, is too long.
 */
export function isBacklogFull(backlogMs: number): boolean {
  return backlogMs > MAX_BACKLOG_MS;
}
