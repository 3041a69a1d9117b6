import type { EndpointListing } from "../../src/scheduler/endpoint_listing.ts";
import type { RunEnd } from "../../src/scheduler/run_end.ts";
import type { StartReply } from "../../src/scheduler/start_reply.ts";
import { FIRST_UNIX_MS } from "./first_unix_ms.ts";
import type { Oracle } from "./oracle.ts";

/** Longest lease that an endpoint grants. */
const MAX_LEASE_MS = 1_000;
/** CPU capacity of an endpoint. */
const CPU_MILLICORES = 16_000;

type Run = { run: number; beganMs: number; endsMs: number };

/** A simulated endpoint with the platform's rules: fencing tokens, leases on the endpoint's clock, increasing run numbers for each task, and run ends that are listed until acknowledged. */
export class FuzzEndpoint {
  readonly id: string;
  /** Whether runs that end do so as failed. */
  isFailing = false;
  /** Whether starts are rejected as those of an unhealthy endpoint. */
  isRejecting = false;
  /** Whether runs go on until they are stopped or the lease expires. */
  isHanging = false;
  processStartMs = 1;
  #oracle: Oracle;
  /** Ratio of the endpoint's clock to virtual time, at most 1. */
  #clockRate: number;
  #runs = new Map<string, Run>();
  #highestRuns = new Map<string, number>();
  #ends: RunEnd[] = [];
  #lastEndNumber = 0;
  #token = 0;
  #leaseEndMs = 0;
  #processStartedAtMs = 0;
  #maxListedEnds: number;
  #taskCpu: number;
  #showsProgress?: boolean;
  #onStart?: (endpoint: FuzzEndpoint, task: string) => void;

  constructor(
    id: string,
    options: {
      oracle: Oracle;
      clockRate: number;
      maxListedEnds: number;
      /** CPU that each task needs, in millicores. Default: 6,800. */
      taskCpu?: number;
      /** Whether listings contain the progress of runs; otherwise it is 0. Default: false. */
      showsProgress?: boolean;
      /** Called with each task that the endpoint starts. */
      onStart?: (endpoint: FuzzEndpoint, task: string) => void;
    },
  ) {
    this.id = id;
    this.#oracle = options.oracle;
    this.#clockRate = options.clockRate;
    this.#onStart = options.onStart;
    this.#maxListedEnds = options.maxListedEnds;
    this.#taskCpu = options.taskCpu ?? 6_800;
    this.#showsProgress = options.showsProgress ?? false;
  }

  /** Returns the endpoint's clock, in ms since its process started. */
  readClock(nowMs: number): number {
    return Math.round((nowMs - this.#processStartedAtMs) * this.#clockRate);
  }

  /** Ends the runs whose work is done, and all runs once the lease has expired. */
  advance(nowMs: number): void {
    if (this.readClock(nowMs) > this.#leaseEndMs) {
      for (const task of [...this.#runs.keys()]) {
        this.#end(task, "lapsed", nowMs);
      }
      this.#oracle.recordLeaseExpiry(this.id);
    }
    for (const [task, { endsMs }] of [...this.#runs]) {
      if (endsMs > nowMs || this.isHanging) continue;
      this.#end(task, this.isFailing ? "failed" : "done", nowMs);
    }
  }

  hasRun(task: string): boolean {
    return this.#runs.has(task);
  }

  /** Replaces the endpoint's process; runs, run ends, token and lease are lost. */
  restart(nowMs: number): void {
    for (const task of this.#runs.keys()) {
      this.#oracle.recordCrash(task, nowMs);
      this.#oracle.recordEnd(this.id, task);
    }
    this.#oracle.discardUnacknowledgedEnds(this.id);
    this.#runs.clear();
    this.#highestRuns.clear();
    this.#ends = [];
    this.#lastEndNumber = 0;
    this.#token = 0;
    this.#leaseEndMs = 0;
    this.#processStartedAtMs = nowMs;
    this.processStartMs = FIRST_UNIX_MS + nowMs;
  }

  start(
    order: {
      task: string;
      run: number;
      leaseEndMs: number;
      token: number;
      processStartMs: number;
    },
    at: { nowMs: number; workMs: number },
  ): StartReply {
    const { nowMs, workMs } = at;
    this.advance(nowMs);
    if (this.isRejecting) return reject("unhealthy");
    if (order.token < this.#token) return reject("superseded");
    this.#token = order.token;
    if (order.leaseEndMs < this.readClock(nowMs)) return reject("expired");
    if (this.#runs.get(order.task)?.run === order.run) {
      return { type: "accepted" };
    }
    if (order.run <= (this.#highestRuns.get(order.task) ?? 0)) {
      return reject("olderRun");
    }
    this.#extend(order.leaseEndMs, nowMs);
    const isFull = (this.#runs.size + 1) * this.#taskCpu > CPU_MILLICORES;
    if (isFull || this.#runs.has(order.task)) return reject("noRoom");
    this.#highestRuns.set(order.task, order.run);
    this.#runs.set(order.task, {
      run: order.run,
      beganMs: nowMs,
      endsMs: nowMs + workMs,
    });
    this.#oracle.recordStart(this.id, order.task, nowMs);
    this.#onStart?.(this, order.task);
    return { type: "accepted" };
  }

  stop(
    order: { task: string; run: number; token: number },
    nowMs: number,
  ): boolean {
    this.advance(nowMs);
    if (order.token < this.#token) return false;
    this.#token = order.token;
    const highest = this.#highestRuns.get(order.task) ?? 0;
    this.#highestRuns.set(order.task, Math.max(highest, order.run));
    if (this.#runs.get(order.task)?.run === order.run) {
      this.#end(order.task, "stopped", nowMs);
    }
    return true;
  }

  list(
    order: { token: number; lastEnd: number; leaseEndMs?: number },
    nowMs: number,
  ): Omit<EndpointListing, "sentMs" | "receivedMs"> | "superseded" {
    this.advance(nowMs);
    if (order.token < this.#token) return "superseded";
    this.#token = order.token;
    if (order.leaseEndMs !== undefined) this.#extend(order.leaseEndMs, nowMs);
    for (const end of this.#ends) {
      if (end.number <= order.lastEnd) {
        this.#oracle.recordAcknowledgement(this.id, end);
      }
    }
    this.#ends = this.#ends.filter(({ number }) => number > order.lastEnd);
    return this.describe(nowMs);
  }

  /** Returns the content of a listing, without checking a token. */
  describe(nowMs: number): Omit<EndpointListing, "sentMs" | "receivedMs"> {
    this.advance(nowMs);
    return {
      clockMs: this.readClock(nowMs),
      processStartMs: this.processStartMs,
      running: [...this.#runs].map(([task, one]) => ({
        task,
        run: one.run,
        progress: this.#readProgress(one, nowMs),
      })),
      ended: this.#ends.slice(0, this.#maxListedEnds),
    };
  }

  #readProgress({ beganMs, endsMs }: Run, nowMs: number): number {
    if (!this.#showsProgress || this.isHanging) return 0;
    return Math.min(1, (nowMs - beganMs) / (endsMs - beganMs));
  }

  #extend(leaseEndMs: number, nowMs: number): void {
    const maxLeaseEndMs = this.readClock(nowMs) + MAX_LEASE_MS;
    this.#leaseEndMs = Math.max(
      this.#leaseEndMs,
      Math.min(leaseEndMs, maxLeaseEndMs),
    );
  }

  #end(task: string, how: RunEnd["how"], nowMs: number): void {
    const run = this.#runs.get(task)?.run ?? 0;
    this.#runs.delete(task);
    this.#lastEndNumber += 1;
    this.#ends.push({ number: this.#lastEndNumber, task, run, how });
    this.#oracle.recordEnd(this.id, task);
    this.#oracle.recordListedEnd(
      this.id,
      { number: this.#lastEndNumber, task, run, how },
      nowMs,
    );
  }
}

function reject(
  reason: Extract<StartReply, { reason: string }>["reason"],
): StartReply {
  return { type: "rejected", reason };
}
