import type { LostRun } from "./lost_run.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { TaskPhase } from "./task_phase.ts";

/** The scheduler's state of a task and of its latest run. */
export type ScheduledTask = {
  /** Unique name, under which endpoints know the task. */
  name: string;
  job: ScheduledJob;
  /** Index of the task's step in the order. */
  step: number;
  /** Changed by `changeTaskPhase` only. */
  readonly phase: TaskPhase;
  /** Number of the latest run; rises with each start. */
  run: number;
  /** Endpoint of the latest run while that run is tracked there; for a held task, the endpoint where a run was last known. */
  endpointId?: string;
  /** When the start of the latest run was sent, by the scheduler's clock, in ms. */
  startSentMs: number;
  /** When the start was confirmed, in ms; 0 before that. */
  startConfirmedMs: number;
  /** The endpoint's clock when it confirmed the start, in ms; 0 before that. */
  startedClockMs: number;
  /** When a confirmed stop has taken effect at the latest, in ms; 0 while no stop is confirmed. */
  stoppedByMs: number;
  /** Run numbers of the failed runs, in the order in which they were listed. Endpoints list a run end again until it is acknowledged, to a later scheduler as well, and in any order. */
  failedRuns: number[];
  /** Runs that were lost with their endpoints and may have crashed these. */
  lostRuns: LostRun[];
  /** Runs of a stored job's task of which it is not known whether their start crashed the endpoint, as the scheduler ended; `UNKNOWN_RUN` for one whose number is not known. Includes the latest run if its start was counted. */
  doubtfulRuns: number[];
  /** Whether the latest or the next start is among the doubtful ones. */
  isStartCounted: boolean;
  /** Endpoints where a run failed or a start was not answered, once for each. */
  failedEndpointIds: string[];
  /** Until when the task is held at most, in ms; 0 while it is not held. A held task does not start, as another scheduler's run of the task may be active at an endpoint that has not listed its runs since. */
  heldUntilMs: number;
  /** Whether the hold has made the earlier scheduler's start of the task doubtful. */
  isHoldCounted: boolean;
  /** Only listings requested from this time on show whether an endpoint runs the task, in ms. */
  listingsValidFromMs: number;
  /** Completed fraction of the latest run as last listed, 0 to 1. */
  progress: number;
  /** Predicted end of the latest run, from its progress, in ms; 0 before the first prediction. */
  expectedEndMs: number;
  /** Number of runs that were stopped because the task would end sooner at another endpoint. */
  moveCount: number;
};
