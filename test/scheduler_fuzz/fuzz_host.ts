import { advanceScheduler } from "../../src/scheduler/advance_scheduler.ts";
import { applyListing } from "../../src/scheduler/apply_listing.ts";
import { setEndpointUnresponsive } from "../../src/scheduler/set_endpoint_unresponsive.ts";
import { applyStartReply } from "../../src/scheduler/apply_start_reply.ts";
import { applyStopReply } from "../../src/scheduler/apply_stop_reply.ts";
import { computeAcknowledgedEnd } from "../../src/scheduler/compute_acknowledged_end.ts";
import { computeLeaseEnd } from "../../src/scheduler/compute_lease_end.ts";
import { createSchedulerState } from "../../src/scheduler/create_scheduler_state.ts";
import type { Effect } from "../../src/scheduler/effect.ts";
import type { EndpointRow } from "../../src/scheduler/endpoint_row.ts";
import { setEndpointTakenOver } from "../../src/scheduler/set_endpoint_taken_over.ts";
import type { SchedulerState } from "../../src/scheduler/scheduler_state.ts";
import type { StartReply } from "../../src/scheduler/start_reply.ts";
import { SCHEDULER_LIMITS } from "../fixtures/scheduler_limits.ts";
import { takeEffects } from "../../src/scheduler/take_effects.ts";
import { updateEndpoints } from "../../src/scheduler/update_endpoints.ts";
import type { FuzzEndpoint } from "./fuzz_endpoint.ts";

const TICK_MS = 20;
const LIST_MS = 60;
const ROWS_MS = 400;
const BEAT_MS = 100;
const ROLE_MS = 280;
/** An order without an answer by then is unanswered, in ms. */
const ORDER_MS = 40;
/** A listing without an answer by then has failed, in ms. */
const ANSWER_MS = 250;
const STOP_AGAIN_MS = 50;
const MOST_STOPS = 40;

/** How the host's calls fare; a call is carried out after `thereMs`, if at all, and answered after `backMs`, if at all. */
export type Way = { thereMs?: number; backMs?: number };

/** What a host needs of the world. */
export type FuzzWorld = {
  endpoints: FuzzEndpoint[];
  readNow(): number;
  later(afterMs: number, run: () => void): void;
  findWay(host: FuzzHost, endpoint: FuzzEndpoint): Way;
  listRows(): EndpointRow[];
  /** Whether the host's beats reach the store. */
  hasRole(host: FuzzHost): boolean;
  /** Called with each beat that does. */
  beat(host: FuzzHost): void;
  readWorkMs(task: string): number;
  told(host: FuzzHost, effect: Effect): void;
};

/** A scheduler's process in virtual time: its decisions are the product's, its calls are the world's. */
export class FuzzHost {
  readonly state: SchedulerState;
  isAlive = true;
  #world: FuzzWorld;
  #listRows: () => EndpointRow[];
  #followed = new Set<string>();

  constructor(
    world: FuzzWorld,
    token: number,
    /** For a VM that serves alone. */
    solo?: { listShare: () => EndpointRow[]; hasKeptJobs: boolean },
  ) {
    this.#world = world;
    this.#listRows = solo?.listShare ?? world.listRows;
    this.state = createSchedulerState(token, {
      limits: SCHEDULER_LIMITS,
      nowMs: world.readNow(),
      isSolo: solo !== undefined,
      hasKeptJobs: solo?.hasKeptJobs,
      areStoredJobsRead: solo !== undefined,
      knownEndpointIds: solo ? [] : world.endpoints.map(({ id }) => id),
    });
    // As the product's host: its row has just been written.
    if (!solo) this.state.roleExclusiveUntilMs = world.readNow() + ROLE_MS;
    this.#repeat(BEAT_MS, () => this.#beat());
    this.#repeat(TICK_MS, () => advanceScheduler(this.state, world.readNow()));
    this.#repeat(ROWS_MS, () => this.#readRows());
  }

  act(decide: (nowMs: number) => void): void {
    if (!this.isAlive) return;
    decide(this.#world.readNow());
    for (const effect of takeEffects(this.state)) this.#run(effect);
  }

  #repeat(everyMs: number, run: () => void): void {
    if (!this.isAlive) return;
    this.act(run);
    this.#world.later(everyMs, () => this.#repeat(everyMs, run));
  }

  /** Another takes over only when the beat is stale. */
  #beat(): void {
    if (!this.#world.hasRole(this)) return;
    this.state.roleExclusiveUntilMs = this.#world.readNow() + ROLE_MS;
    this.#world.beat(this);
  }

  #readRows(): void {
    updateEndpoints(this.state, this.#listRows(), {
      nowMs: this.#world.readNow(),
      isListReliable: true,
    });
    for (const endpoint of this.#world.endpoints) {
      const isNew = this.state.endpoints.has(endpoint.id) &&
        !this.#followed.has(endpoint.id);
      if (!isNew) continue;
      this.#followed.add(endpoint.id);
      this.#list(endpoint, 0);
    }
  }

  #list(endpoint: FuzzEndpoint, failures: number): void {
    const { state } = this;
    const known = state.endpoints.get(endpoint.id);
    if (!this.isAlive) return;
    if (!known) {
      this.#followed.delete(endpoint.id);
      return;
    }
    const sentMs = this.#world.readNow();
    const leaseEndMs = computeLeaseEnd(state, known, sentMs);
    if (leaseEndMs !== undefined) {
      known.leaseEndMs = Math.max(known.leaseEndMs, leaseEndMs);
    }
    const order = {
      token: known.token,
      lastEnd: failures > 0 ? 0 : computeAcknowledgedEnd(state, known, sentMs),
      leaseEndMs,
    };
    this.#call(endpoint, {
      withinMs: ANSWER_MS,
      carryOut: (nowMs) => endpoint.list(order, nowMs),
      answered: (listing) => {
        if (listing === "superseded") {
          this.act(() => setEndpointTakenOver(state, endpoint.id));
        } else {
          const receivedMs = this.#world.readNow();
          this.act(() =>
            applyListing(state, endpoint.id, { ...listing, sentMs, receivedMs })
          );
        }
        this.#world.later(LIST_MS, () => this.#list(endpoint, 0));
      },
      unanswered: () => {
        if (failures > 0) {
          this.act((nowMs) =>
            setEndpointUnresponsive(state, endpoint.id, nowMs)
          );
        }
        this.#list(endpoint, failures + 1);
      },
    });
  }

  #run(effect: Effect): void {
    if (effect.type === "startTask") this.#start(effect);
    else if (effect.type === "stopRun") this.#stop(effect, 0);
    else this.#world.told(this, effect);
  }

  #start(effect: Extract<Effect, { type: "startTask" }>): void {
    const { task, run, leaseEndMs, endpointId } = effect;
    const endpoint = this.#findEndpoint(endpointId);
    const known = this.state.endpoints.get(endpointId);
    const order = {
      task: task.name,
      run,
      leaseEndMs,
      token: known?.token ?? this.state.token,
      processStartMs: known?.processStartMs ?? 0,
    };
    const reply = (answer: StartReply) => {
      if (answer.type === "rejected" && answer.reason === "superseded") {
        this.act(() => setEndpointTakenOver(this.state, endpointId));
      }
      this.act((nowMs) =>
        applyStartReply(this.state, { endpointId, task, run }, {
          reply: answer,
          nowMs,
        })
      );
    };
    const workMs = this.#world.readWorkMs(task.name);
    this.#call(endpoint, {
      withinMs: ORDER_MS,
      carryOut: (nowMs) => endpoint.start(order, { nowMs, workMs }),
      answered: reply,
      unanswered: () => reply({ type: "unanswered" }),
    });
  }

  #stop(effect: Extract<Effect, { type: "stopRun" }>, attempt: number): void {
    const { endpointId, task, run } = effect;
    const current = this.state.endpoints.get(endpointId)?.runs.get(task);
    const isCurrent = current?.run === run;
    if (!this.isAlive || attempt >= MOST_STOPS && !isCurrent) return;
    const endpoint = this.#findEndpoint(endpointId);
    const token = this.state.endpoints.get(endpointId)?.token ??
      this.state.token;
    const again = () =>
      this.#world.later(STOP_AGAIN_MS, () => this.#stop(effect, attempt + 1));
    this.#call(endpoint, {
      withinMs: ORDER_MS,
      carryOut: (nowMs) => endpoint.stop({ task, run, token }, nowMs),
      answered: (isDone) => {
        if (!isDone) again();
        else {
          this.act((nowMs) => applyStopReply(this.state, effect, nowMs));
        }
      },
      unanswered: again,
    });
  }

  #findEndpoint(id: string): FuzzEndpoint {
    return this.#world.endpoints.find((one) => one.id === id) as FuzzEndpoint;
  }

  #call<Answer>(endpoint: FuzzEndpoint, call: {
    withinMs: number;
    carryOut: (nowMs: number) => Answer;
    answered: (answer: Answer) => void;
    unanswered: () => void;
  }): void {
    const world = this.#world;
    const { thereMs, backMs } = world.findWay(this, endpoint);
    const { processStartMs } = endpoint;
    let isOver = false;
    const finish = (run: () => void) => {
      if (isOver) return;
      isOver = true;
      if (this.isAlive) run();
    };
    if (thereMs !== undefined) {
      world.later(thereMs, () => {
        // What a process has been told ends with it.
        if (endpoint.processStartMs !== processStartMs) return;
        const answer = call.carryOut(world.readNow());
        if (backMs === undefined) return;
        world.later(backMs, () => {
          if (endpoint.processStartMs !== processStartMs) return;
          finish(() => call.answered(answer));
        });
      });
    }
    world.later(call.withinMs, () => finish(call.unanswered));
  }
}
