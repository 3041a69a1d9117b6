/** Why a job's tasks went where they went, as callers and operators see it. */
export type JobRecord = {
  job: string;
  phase: string;
  /** How safely the claim is kept: pending, memory or written. */
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
    /** Expected run time at an average endpoint, in ms. */
    expectedMs: number;
    reason: string;
  }[];
};
