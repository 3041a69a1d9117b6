/** Part of the room that stays free for jobs that can still be in time. */
const RESERVE = 0.15;

/**
 * Whether a job that is late already may begin. Load it answers: a burst, in
 * which late jobs would take the room that the next ones need to be in time,
 * so that these are late as well.
 */
export function canStartLateJob(
  room: { free: number; total: number },
): boolean {
  return room.free > RESERVE * room.total;
}
