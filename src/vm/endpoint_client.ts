import type { EndpointListing } from "../scheduler/endpoint_listing.ts";
import type { StartReply } from "../scheduler/start_reply.ts";

/** Gives orders to one endpoint. */
export type EndpointClient = {
  /** Starts a run; never rejects. */
  start(order: {
    task: string;
    run: number;
    spec: string;
    leaseEndMs: number;
    token: number;
  }): Promise<StartReply & { clockMs?: number }>;
  /** Stops a run; true when the endpoint has confirmed it. */
  stop(order: { task: string; run: number; token: number }): Promise<boolean>;
  /** Extends the lease and reads the list of runs, waiting for an end; rejects without an answer. */
  list(order: {
    token: number;
    /** Ends up to this number were taken note of. */
    lastEnd: number;
    /** Absent: the lease stays as it is. */
    leaseEndMs?: number;
    waitMs: number;
    timeoutMs: number;
  }): Promise<EndpointListing | "superseded" | "otherInstance">;
  close(): void;
};
