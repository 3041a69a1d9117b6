/** Work that may wait before no more is taken, in ms of all the room: about the longest objective of a job. */
const MOST_BACKLOG_MS = 2_000;

/** Whether a stored job is turned away, as what was accepted before it takes all the room for too long. */
export function isBacklogFull(backlogMs: number): boolean {
  return backlogMs > MOST_BACKLOG_MS;
}
