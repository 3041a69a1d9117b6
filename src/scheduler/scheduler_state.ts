import type { Evacuations } from "../evacuation/evacuations.ts";
import type { UnmatchedRunEnds } from "./unmatched_run_ends.ts";
import type { CountedStart } from "./counted_start.ts";
import type { Effect } from "./effect.ts";
import type { GroupCapacity } from "../decide/group_capacity.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { JobSize } from "./job_size.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerLimits } from "./scheduler_limits.ts";

/** The complete state of the scheduler. */
export type SchedulerState = {
  /** Fencing token, sent with each order to endpoints that were not reclaimed with a later one. Endpoints refuse orders with a lower token than the highest they have received. */
  token: number;
  /** Whether this VM is in solo mode: it reaches no scheduler and places its own callers' jobs on its share of the endpoints. */
  isSolo: boolean;
  /** Whether there are other groups, with schedulers of their own to which a caller may return. */
  hasOtherGroups: boolean;
  /** Number of VMs whose links were lost and not opened again; they may be in solo mode. */
  lostVmCount: number;
  limits: SchedulerLimits;
  /** When this process became the scheduler, in ms. */
  startedMs: number;
  /** The same as a Unix time, in ms. */
  startedUnixMs: number;
  /** Open jobs and, for the retention period, ended ones, by id. */
  jobs: Map<string, ScheduledJob>;
  /** Jobs whose last VM was lost while a caller waited there; until the next step also some that have ended or have a VM again. */
  orphans: Set<ScheduledJob>;
  /** When ended jobs are checked for eviction next, in ms. */
  nextEvictionMs: number;
  /** Number of tasks in memory, of the stored and of the best-effort jobs. */
  taskCounts: { stored: number; unstored: number };
  /** Memory of the orders of the stored and of the best-effort jobs, in bytes. */
  orderBytes: { stored: number; unstored: number };
  /** Stored jobs that are read once there is space for them in memory, by id in the order in which they were stored, with their sizes. */
  postponedJobs: Map<string, JobSize>;
  /** Jobs with at least one waiting task. */
  waiting: Set<ScheduledJob>;
  /** Tasks with lost runs or many doubtful starts, which may crash endpoints. */
  suspects: Set<ScheduledTask>;
  /** Starts that are requested once the store counts them, by task. */
  countedStarts: Map<ScheduledTask, CountedStart>;
  /** Endpoints of the store's list and others whose runs have not ended yet, by id. */
  endpoints: Map<string, EndpointRecord>;
  /** Run ends that did not belong to the latest run of a known task, by task name. */
  unmatchedRunEnds: Map<string, UnmatchedRunEnds>;
  /** Until when no other process can have taken the scheduler role, in ms. No task of a stored job is started after that. */
  roleExclusiveUntilMs: number;
  /** Whether there may be stored jobs with runs or run ends that this scheduler does not know of. */
  hasKeptJobs: boolean;
  /** Whether the stored jobs have been read; before that no run end that may belong to one is acknowledged. */
  areStoredJobsRead: boolean;
  /** Whether rows of stored jobs are being read, or have been read and not been applied yet. Meanwhile no stored job is evicted, as its row may be among them. */
  isReadingStoredJobs: boolean;
  /** Stored jobs with changes that are not in the store yet, other than those that are being written. */
  unsaved: Set<ScheduledJob>;
  /** Ids of endpoints that left the store's list while they were not usable, with the time, in ms. Other schedulers may still reach them. */
  missingEndpoints: Map<string, number>;
  /** Free capacity of the other groups as last received, less the jobs passed there since. */
  otherGroupCapacities: GroupCapacity[];
  /** The same as last received; kept while no current figures are received. */
  lastGroupCapacities: GroupCapacity[];
  /** The evacuated data centres; absent while not known. */
  evacuations?: Evacuations;
  /** Whether tasks may not start in some data centre: one is evacuated, or may be, as the list is not known. Spares the check of each endpoint. */
  mayHaveClosed: boolean;
  /** Evacuated data centres in which tasks may still run, with the time since which they have been evacuated, as far as this scheduler knows, in ms. */
  occupiedSinceMs: Map<string, number>;
  /** Jobs that were passed to another group, by id. If such a job is submitted again, its VM is sent to the same group. */
  passedJobs: Map<string, PassedJob>;
  /** Mean CPU need of a task by service, in thousandths of a core. */
  taskCpu: Map<string, number>;
  /** Mean run time of a task on an average endpoint, by route. */
  routeStats: Map<string, RouteStats>;
  /** Orders, messages and log lines of the decisions so far, for the caller to take and carry out. */
  effects: Effect[];
};

type PassedJob = { group: string; passedMs: number };
type RouteStats = { meanMs: number; samples: number };
