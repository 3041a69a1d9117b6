import type { GroupRoom } from "./group_room.ts";

/** Places that a group keeps for its own next jobs: what was heard of it is a beat old. */
const SPARE_PLACES = 6;

/**
 * Chooses the group that a job is passed to when its own has no room, or
 * nothing when none can start it at once. Load it answers: clients of one data
 * centre bring more work than it holds while others have room. Groups are
 * drawn by their room, so that all schedulers that hear of the same room do
 * not send everything to one.
 */
export function chooseGroup(
  job: { service: string; tasks: number; cpu: number },
  options: {
    rooms: GroupRoom[];
    /** From 0 to 1. */
    draw: number;
  },
): GroupRoom | undefined {
  const fitting = options.rooms.filter((room) =>
    room.service === job.service && countFitting(room, job) >= job.tasks
  );
  const total = fitting.reduce((sum, room) => sum + room.places, 0);
  let left = options.draw * total;
  for (const room of fitting) {
    left -= room.places;
    if (left < 0) return room;
  }
  return fitting.at(-1);
}

function countFitting(room: GroupRoom, job: { cpu: number }): number {
  const scale = Math.min(1, room.taskCpu / Math.max(1, job.cpu));
  return Math.floor(room.places * scale) - SPARE_PLACES;
}
