import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledJob } from "./scheduled_job.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** The isolated endpoints, and how many endpoints each service has. */
export type IsolatedEndpoints = {
  byTask: Map<ScheduledTask, EndpointRecord>;
  /** The isolated endpoint that tasks of a job have. */
  byJob: Map<ScheduledJob, EndpointRecord>;
  /** By service: all endpoints, usable ones, and usable ones that are isolated. */
  counts: Map<string, { all: number; usable: number; isolated: number }>;
  /** Services that have no further endpoint for a suspect now. */
  exhausted: Set<string>;
};
