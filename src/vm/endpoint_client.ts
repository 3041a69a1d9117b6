import type { EndpointListing } from "../scheduler/endpoint_listing.ts";
import type { StartReply } from "../scheduler/start_reply.ts";

/** Client of one endpoint. Times called `EndMs` are by the endpoint's clock; `token` is the fencing token. */
export type EndpointClient = {
  /** Starts a run; never rejects. The same start may be sent again. `clockMs` is the endpoint's clock, when it answered. */
  start(order: {
    task: string;
    run: number;
    spec: string;
    leaseEndMs: number;
    token: number;
    timeoutMs: number;
    /** Whether the start may still be sent; called right before it is. Default: it may. */
    maySend?: () => boolean;
  }): Promise<StartReply & { clockMs?: number }>;
  /** Stops a run; true when the endpoint has confirmed the stop. */
  stop(order: {
    task: string;
    run: number;
    token: number;
    timeoutMs: number;
  }): Promise<boolean>;
  /** Extends the lease and reads the listing of runs; a long poll of up to `waitMs`, which a run end completes early. `broken`: the connection broke, was refused, or no answer arrived within `timeoutMs`. Rejects when the answer is not a listing. */
  list(order: {
    token: number;
    /** Run ends up to this number are acknowledged; 0 acknowledges none. */
    lastEnd: number;
    /** New end of the lease, in ms; absent: the lease is not extended. */
    leaseEndMs?: number;
    waitMs: number;
    timeoutMs: number;
  }): Promise<EndpointListing | "superseded" | "otherInstance" | "broken">;
  /** Closes the connection. */
  close(): void;
};
