/** How a job's tasks were routed and why, as shown to callers and operators. */
export type JobRecord = {
  job: string;
  phase: string;
  /** State of the claim: pending, memory (started without a durable claim) or written (durable). */
  claim: string;
  shard: number;
  epoch: number;
  tasks: {
    index: number;
    service: string;
    phase: string;
    attempts: number;
    endpoint: string | null;
    triedEndpoints: string[];
    /** Expected run time at an endpoint of average speed, in ms. */
    expectedMs: number;
    reason: string;
  }[];
};
