import type { GroupRoom } from "../decide/group_room.ts";

/** What a group's scheduler tells the others with its beat. */
export type GroupSummary = {
  /** Free room, a service an entry. */
  rooms: Omit<GroupRoom, "group">[];
  /** Stored jobs of which no task has begun, by route; of the group that runs stored jobs only. */
  pending?: Record<string, number>;
  /** How long its room would be busy with what waits, by service, in ms; of that group only. */
  backlogsMs?: Record<string, number>;
};
