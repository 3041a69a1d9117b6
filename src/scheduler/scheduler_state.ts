import type { EarlierEnds } from "./earlier_ends.ts";
import type { Effect } from "./effect.ts";
import type { GroupRoom } from "../decide/group_room.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { SchedulerLimits } from "./scheduler_limits.ts";

/** All that the scheduler knows. */
export type SchedulerState = {
  /** Sent with each order to endpoints that have no later one; they ignore orders with a lower one. */
  token: number;
  /** Serves one VM's callers alone, on its share of the endpoints, while it reaches no other scheduler. */
  isSolo: boolean;
  /** Other groups have schedulers of their own, to which a caller may come back. */
  hasOtherGroups: boolean;
  /** VMs whose links were lost and are not back: they may serve alone. */
  lostVmCount: number;
  limits: SchedulerLimits;
  /** When this process became the scheduler, in ms. */
  startedMs: number;
  jobs: Map<string, ScheduledJob>;
  /** Jobs with tasks that wait for room. */
  waiting: Set<ScheduledJob>;
  endpoints: Map<string, EndpointRecord>;
  /** Ends of runs that this scheduler has no job for, by task. */
  earlierEnds: Map<string, EarlierEnds>;
  /** Until when no other process can have become the scheduler, in ms; stored jobs start nothing after it. */
  roleExclusiveUntilMs: number;
  /** Whether stored jobs may have runs or ends that this scheduler has not heard of. */
  hasKeptJobs: boolean;
  /** Whether the stored jobs have been read; before that no end is taken note of for good. */
  areStoredJobsRead: boolean;
  /** Stored jobs of which the store does not know all. */
  unsaved: Set<ScheduledJob>;
  /** Endpoints that left the list without having been heard, with the time, in ms: others may reach them still. */
  missing: Map<string, number>;
  /** Room of the other groups as last heard, less what was passed to them since. */
  otherGroupRooms: GroupRoom[];
  /** Jobs that were passed to another group, by id: the same id again goes there as well. */
  passed: Map<string, PassedJob>;
  /** Processor room that a task asks for on average, by service, in thousandths of a core. */
  taskCpu: Map<string, number>;
  /** Learnt run time relative to the callers' estimates, by route. */
  routes: Map<string, RouteKnowledge>;
  /** Collected for the caller of each decision, which carries them out. */
  effects: Effect[];
};

type PassedJob = { group: string; passedMs: number };
type RouteKnowledge = { meanMs: number; samples: number };
