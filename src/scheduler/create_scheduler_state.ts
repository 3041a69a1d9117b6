import type { SchedulerLimits } from "./scheduler_limits.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Creates the state of a scheduler that has just received its fencing token. */
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
    /** Ids of endpoints that this VM found in the store's list before it became the scheduler; until they are in the list again they may have active runs. Default: none. */
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
    startedUnixMs: Date.now(),
    jobs: new Map(),
    orphans: new Set(),
    nextEvictionMs: 0,
    taskCounts: { stored: 0, unstored: 0 },
    orderBytes: { stored: 0, unstored: 0 },
    postponedJobs: new Map(),
    waiting: new Set(),
    suspects: new Set(),
    countedStarts: new Map(),
    endpoints: new Map(),
    unmatchedRunEnds: new Map(),
    roleExclusiveUntilMs: Infinity,
    // A solo VM is not notified when the first stored job is accepted.
    hasKeptJobs: isSolo || hasKeptJobs,
    areStoredJobsRead: options.areStoredJobsRead ?? true,
    isReadingStoredJobs: false,
    unsaved: new Set(),
    missingEndpoints: new Map(
      options.knownEndpointIds?.map((id) => [id, options.nowMs]),
    ),
    otherGroupCapacities: [],
    lastGroupCapacities: [],
    mayHaveClosed: options.limits.evacuateMs !== undefined,
    occupiedSinceMs: new Map(),
    passedJobs: new Map(),
    taskCpu: new Map(),
    routeStats: new Map(),
    effects: [],
  };
}
