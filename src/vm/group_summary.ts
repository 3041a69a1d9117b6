import type { GroupCapacity } from "../decide/group_capacity.ts";

/** Figures that a group's scheduler publishes with its heartbeat for the other groups. */
export type GroupSummary = {
  /** Free capacity, one entry per service. */
  rooms: Omit<GroupCapacity, "group">[];
  /** Stored jobs of which no task has started, by route; only in the summary of the group that runs stored jobs. */
  pending?: Record<string, number>;
  /** Time for which the waiting jobs would occupy the group's capacity, by service, in ms; only in the summary of the group that runs stored jobs. */
  backlogsMs?: Record<string, number>;
};
