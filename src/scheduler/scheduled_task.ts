import type { ScheduledJob } from "./scheduled_job.ts";
import type { TaskPhase } from "./task_phase.ts";

/** A task and its latest run. */
export type ScheduledTask = {
  /** Unique name, sent to endpoints. */
  name: string;
  job: ScheduledJob;
  step: number;
  phase: TaskPhase;
  /** Number of the latest run; rises with each start. */
  run: number;
  /** The endpoint of the latest run, while it is there. */
  endpointId?: string;
  /** When the latest run's start was sent, by the scheduler's clock, in ms. */
  sentMs: number;
  /** When the start was confirmed, in ms; 0 before that. */
  confirmedMs: number;
  /** When a confirmed stop has surely taken effect, in ms; 0 while none is confirmed. */
  clearMs: number;
  failures: number;
  /** Number of the latest run that counts among the failures. */
  failedRun: number;
  /** Endpoints where a run of the task failed or a start was not answered. */
  failedOn: string[];
  /** Another scheduler may have started it at an endpoint not heard since; until then it waits, in ms. 0 when accounted for. */
  unaccountedUntilMs: number;
  /** Only a listing asked for after this says whether the endpoint runs it, in ms. */
  unaccountedSinceMs: number;
  /** Done part of the latest run as last listed, 0 to 1. */
  progress: number;
  /** When the latest run will end as far as its progress tells, in ms; 0 before it tells. */
  expectedEndMs: number;
  /** Runs that were stopped because another endpoint will be done sooner. */
  moves: number;
};
