import type { SchedulerLimits } from "./scheduler_limits.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Creates the state of a scheduler that has just been given its token. */
export function createSchedulerState(
  token: number,
  options: {
    limits: SchedulerLimits;
    nowMs: number;
    /** Default: false. */
    isSolo?: boolean;
    /** Default: false. */
    hasOtherGroups?: boolean;
    /** Default: false. */
    hasKeptJobs?: boolean;
    /** Default: true. */
    areStoredJobsRead?: boolean;
    /** Ids of endpoints that were listed before; until they are listed or heard they may run something. Default: none. */
    knownEndpointIds?: string[];
  },
): SchedulerState {
  const { isSolo = false, hasKeptJobs = false } = options;
  return {
    token,
    isSolo,
    hasOtherGroups: options.hasOtherGroups ?? false,
    lostVmCount: 0,
    limits: options.limits,
    startedMs: options.nowMs,
    jobs: new Map(),
    waiting: new Set(),
    endpoints: new Map(),
    earlierEnds: new Map(),
    roleExclusiveUntilMs: Infinity,
    // A VM that serves alone does not hear of the first one that comes.
    hasKeptJobs: isSolo || hasKeptJobs,
    areStoredJobsRead: options.areStoredJobsRead ?? true,
    unsaved: new Set(),
    missing: new Map(
      options.knownEndpointIds?.map((id) => [id, options.nowMs]),
    ),
    otherGroupRooms: [],
    passed: new Map(),
    taskCpu: new Map(),
    routes: new Map(),
    effects: [],
  };
}
