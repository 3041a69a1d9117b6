import type { GroupCapacity } from "../decide/group_capacity.ts";

/**
 * Chooses the group that takes a job which its own group can't run, as the
 * endpoints there are evacuated: at random, weighted by free capacity. Groups
 * without free capacity take part too, since the job can only wait there.
 * Undefined when no group has open endpoints of the service.
 */
export function chooseOpenGroup(
  job: { service: string },
  options: {
    capacities: GroupCapacity[];
    /** Random number from 0 (included) to 1 (excluded). */
    draw: number;
  },
): GroupCapacity | undefined {
  const candidates = options.capacities
    .filter(({ service }) => service === job.service);
  const total = candidates.reduce((sum, group) => sum + readWeight(group), 0);
  let remaining = options.draw * total;
  for (const group of candidates) {
    remaining -= readWeight(group);
    if (remaining < 0) return group;
  }
  return candidates.at(-1);
}

function readWeight({ places }: GroupCapacity): number {
  return Math.max(1, places);
}
