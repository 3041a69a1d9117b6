import type { EndpointListing } from "../../src/scheduler/endpoint_listing.ts";
import type { RunEnd } from "../../src/scheduler/run_end.ts";
import type { StartReply } from "../../src/scheduler/start_reply.ts";
import type { Oracle } from "./oracle.ts";

/** Longest lease, in ms. */
const LEASE_MS = 1_000;
/** Cores of an endpoint, in thousandths. */
const CPU = 16_000;
const TASK_CPU = 6_800;

type Run = { run: number; endsMs: number };

/** An endpoint with the platform's rules: tokens, leases on its own clock, run numbers, ends that are listed until acknowledged. */
export class FuzzEndpoint {
  readonly id: string;
  isFailing = false;
  isHanging = false;
  processStartMs = 1;
  #oracle: Oracle;
  /** Its clock runs this much slower than true time. */
  #rate: number;
  #runs = new Map<string, Run>();
  #highest = new Map<string, number>();
  #ends: RunEnd[] = [];
  #count = 0;
  #token = 0;
  #leaseEndMs = 0;
  #beganMs = 0;

  constructor(id: string, options: { oracle: Oracle; rate: number }) {
    this.id = id;
    this.#oracle = options.oracle;
    this.#rate = options.rate;
  }

  readClock(nowMs: number): number {
    return Math.round((nowMs - this.#beganMs) * this.#rate);
  }

  /** Ends what is due: runs that are over, and all of them when the lease is. */
  advance(nowMs: number): void {
    if (this.readClock(nowMs) > this.#leaseEndMs) {
      for (const task of [...this.#runs.keys()]) {
        this.#end(task, "lapsed", nowMs);
      }
      this.#oracle.lapsed(this.id);
    }
    for (const [task, { endsMs }] of [...this.#runs]) {
      if (endsMs > nowMs || this.isHanging) continue;
      this.#end(task, this.isFailing ? "failed" : "done", nowMs);
    }
  }

  beginAnew(nowMs: number): void {
    for (const task of this.#runs.keys()) this.#oracle.ended(this.id, task);
    this.#oracle.forgot(this.id);
    this.#runs.clear();
    this.#highest.clear();
    this.#ends = [];
    this.#count = 0;
    this.#token = 0;
    this.#leaseEndMs = 0;
    this.#beganMs = nowMs;
    this.processStartMs += 1;
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
    if (order.token < this.#token) return reject("superseded");
    this.#token = order.token;
    if (order.leaseEndMs < this.readClock(nowMs)) return reject("expired");
    if (this.#runs.get(order.task)?.run === order.run) {
      return { type: "accepted" };
    }
    if (order.run <= (this.#highest.get(order.task) ?? 0)) {
      return reject("olderRun");
    }
    this.#extend(order.leaseEndMs, nowMs);
    const isFull = (this.#runs.size + 1) * TASK_CPU > CPU;
    if (isFull || this.#runs.has(order.task)) return reject("noRoom");
    this.#highest.set(order.task, order.run);
    this.#runs.set(order.task, { run: order.run, endsMs: nowMs + workMs });
    this.#oracle.began(this.id, order.task, nowMs);
    return { type: "accepted" };
  }

  stop(
    order: { task: string; run: number; token: number },
    nowMs: number,
  ): boolean {
    this.advance(nowMs);
    if (order.token < this.#token) return false;
    this.#token = order.token;
    const highest = this.#highest.get(order.task) ?? 0;
    this.#highest.set(order.task, Math.max(highest, order.run));
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
        this.#oracle.acknowledged(this.id, end);
      }
    }
    this.#ends = this.#ends.filter(({ number }) => number > order.lastEnd);
    return this.describe(nowMs);
  }

  /** What a listing says, whoever asked for it. */
  describe(nowMs: number): Omit<EndpointListing, "sentMs" | "receivedMs"> {
    this.advance(nowMs);
    return {
      clockMs: this.readClock(nowMs),
      processStartMs: this.processStartMs,
      running: [...this.#runs].map(([task, { run }]) => ({
        task,
        run,
        progress: 0,
      })),
      ended: [...this.#ends],
    };
  }

  #extend(leaseEndMs: number, nowMs: number): void {
    const most = this.readClock(nowMs) + LEASE_MS;
    this.#leaseEndMs = Math.max(this.#leaseEndMs, Math.min(leaseEndMs, most));
  }

  #end(task: string, how: RunEnd["how"], nowMs: number): void {
    const run = this.#runs.get(task)?.run ?? 0;
    this.#runs.delete(task);
    this.#count += 1;
    this.#ends.push({ number: this.#count, task, run, how });
    this.#oracle.ended(this.id, task);
    this.#oracle.listed(
      this.id,
      { number: this.#count, task, run, how },
      nowMs,
    );
  }
}

function reject(
  reason: Extract<StartReply, { reason: string }>["reason"],
): StartReply {
  return { type: "rejected", reason };
}
