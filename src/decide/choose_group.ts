import type { GroupCapacity } from "./group_capacity.ts";

/**
 * Task starts that are left to a group's own next jobs, since its published
 * free capacity is as old as its last heartbeat.
 */
const RESERVED_TASK_STARTS = 6;

/**
 * Chooses the group that a job is passed to when its own group has too little
 * free capacity; undefined when no group can start all tasks at once. This
 * evens out the load when one data centre receives more work than it can run
 * while others have free capacity. The choice is random, weighted by free
 * capacity: all schedulers see the same published figures and would otherwise
 * pass all jobs to the same group.
 */
export function chooseGroup(
  job: { service: string; tasks: number; cpu: number },
  options: {
    capacities: GroupCapacity[];
    /** Random number from 0 (included) to 1 (excluded). */
    draw: number;
  },
): GroupCapacity | undefined {
  const candidates = options.capacities.filter((group) =>
    group.service === job.service &&
    countPossibleStarts(group, job) >= job.tasks
  );
  const total = candidates.reduce((sum, group) => sum + group.places, 0);
  let remaining = options.draw * total;
  for (const group of candidates) {
    remaining -= group.places;
    if (remaining < 0) return group;
  }
  return candidates.at(-1);
}

/** Counts the tasks of the job that the group could start now, less the reserved starts. */
function countPossibleStarts(
  group: GroupCapacity,
  job: { cpu: number },
): number {
  const scale = Math.min(1, group.taskCpu / Math.max(1, job.cpu));
  return Math.floor(group.places * scale) - RESERVED_TASK_STARTS;
}
