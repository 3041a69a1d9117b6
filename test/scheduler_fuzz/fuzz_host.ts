import { applyEvacuations } from "../../src/evacuation/apply_evacuations.ts";
import { canStartIn } from "../../src/evacuation/can_start_in.ts";
import type { Evacuations } from "../../src/evacuation/evacuations.ts";
import { classifyRepeatedStart } from "../../src/decide/classify_repeated_start.ts";
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
import { FIRST_UNIX_MS } from "./first_unix_ms.ts";
import type { FuzzEndpoint } from "./fuzz_endpoint.ts";

/** Time between two steps of the scheduler's state machine. */
const ADVANCE_INTERVAL_MS = 20;
/** Pause between a listing of an endpoint and the next request for one. */
const LIST_PAUSE_MS = 60;
/** Time between two readings of the store's endpoint rows. */
const ROWS_POLL_INTERVAL_MS = 400;
const HEARTBEAT_INTERVAL_MS = 100;
/** Time between two readings of the operator's rows. */
const EVACUATIONS_POLL_INTERVAL_MS = 300;
/** Bound for evacuations, in histories in which there are some. */
const EVACUATE_MS = 5_000;
/** Time after a heartbeat during which no other VM can take the scheduler role over. */
const ROLE_EXCLUSIVE_MS = 280;
/** Time-out of a start or stop order. */
const ORDER_TIMEOUT_MS = 40;
/** The same for an endpoint that has not answered before. */
const SLOW_ORDER_TIMEOUT_MS = 500;
/** Time-out of a request for a listing. */
const LIST_TIMEOUT_MS = 250;
const STOP_RETRY_DELAY_MS = 50;
/** Maximum number of times that a start is sent. */
const MAX_START_SENDS = 3;
/** Upper bound for the attempts to stop a run that the scheduler no longer records at the endpoint. */
const MAX_STOP_ATTEMPTS = 40;

/** Network delays of a call, in ms: the endpoint receives the request after `requestMs` and the host the answer `replyMs` later. An undefined delay means that the message is lost. */
export type CallDelays = { requestMs?: number; replyMs?: number };

/** The simulated environment of a host. */
export type FuzzWorld = {
  endpoints: FuzzEndpoint[];
  /** Most run ends that an endpoint lists at a time. */
  maxListedEnds: number;
  readNow(): number;
  runAfter(afterMs: number, run: () => void): void;
  /** Whether connections to the endpoint are refused: its process has ended and no other has begun, or it is cut off with resets. */
  isRefusing(endpoint: FuzzEndpoint): boolean;
  /** Whether orders are given up late. */
  hasSlowOrders(): boolean;
  findCallDelays(host: FuzzHost, endpoint: FuzzEndpoint): CallDelays;
  /** Returns the store's list of endpoints; undefined when it can't be read. */
  listRows(): EndpointRow[] | undefined;
  /** Whether there are evacuations in the history. */
  hasEvacuations: boolean;
  /** Returns the evacuated data centres; undefined when the host can't read them. */
  readEvacuations(host: FuzzHost): Evacuations | undefined;
  /** Called with each start that a host sends. */
  recordSend(host: FuzzHost, endpoint: FuzzEndpoint): void;
  /** Whether the host holds the scheduler role, so that its heartbeats reach the store. */
  hasRole(host: FuzzHost): boolean;
  /** Called for each heartbeat that reaches the store. */
  receiveHeartbeat(host: FuzzHost): void;
  /** Returns how long a run of a task takes, in ms. */
  readWorkMs(task: string): number;
  /** Called with each effect that is not an order to an endpoint. */
  receiveEffect(host: FuzzHost, effect: Effect): void;
};

/** A scheduler process in virtual time. Its decisions are those of src/scheduler; its calls go to simulated endpoints. */
export class FuzzHost {
  readonly state: SchedulerState;
  isAlive = true;
  readonly isSolo: boolean;
  /** Whether the process reaches the store, as far as its VM does. */
  readonly canReachStore: () => boolean;
  #world: FuzzWorld;
  #listRows: () => EndpointRow[] | undefined;
  #polledEndpoints = new Set<string>();

  constructor(
    world: FuzzWorld,
    token: number,
    /** Given for a solo VM: the endpoints of its share, and whether stored jobs may exist. */
    solo?: {
      listShare: () => EndpointRow[];
      hasKeptJobs: boolean;
      /** What the VM knew of the evacuations before. */
      evacuations?: Evacuations;
      canReachStore: () => boolean;
    },
  ) {
    this.#world = world;
    this.isSolo = solo !== undefined;
    this.canReachStore = solo?.canReachStore ?? (() => true);
    this.#listRows = solo?.listShare ?? world.listRows;
    this.state = createSchedulerState(token, {
      limits: {
        ...SCHEDULER_LIMITS,
        maxListedEnds: world.maxListedEnds,
        evacuateMs: world.hasEvacuations ? EVACUATE_MS : undefined,
      },
      nowMs: world.readNow(),
      isSolo: solo !== undefined,
      hasKeptJobs: solo?.hasKeptJobs,
      areStoredJobsRead: solo !== undefined,
      knownEndpointIds: solo ? [] : world.endpoints.map(({ id }) => id),
    });
    this.state.startedUnixMs = FIRST_UNIX_MS + world.readNow();
    // A scheduler starts right after its row was written, which makes its role exclusive as a heartbeat does.
    if (!solo) {
      this.state.roleExclusiveUntilMs = world.readNow() + ROLE_EXCLUSIVE_MS;
    }
    this.#repeat(HEARTBEAT_INTERVAL_MS, () => this.#sendHeartbeat());
    this.#repeat(
      ADVANCE_INTERVAL_MS,
      () => advanceScheduler(this.state, world.readNow()),
    );
    if (world.hasEvacuations) {
      applyEvacuations(this.state, solo?.evacuations, world.readNow());
      const read = (nowMs: number) =>
        applyEvacuations(this.state, world.readEvacuations(this), nowMs);
      // A VM in solo mode has read the rows before; any other scheduler may have just started.
      world.runAfter(
        solo ? 0 : EVACUATIONS_POLL_INTERVAL_MS,
        () => this.#repeat(EVACUATIONS_POLL_INTERVAL_MS, read),
      );
    }
    this.#repeat(ROWS_POLL_INTERVAL_MS, () => this.#readRows());
  }

  /** Calls a function of the state machine and carries its effects out; does nothing once the process has ended. */
  applyDecision(decide: (nowMs: number) => void): void {
    if (!this.isAlive) return;
    decide(this.#world.readNow());
    for (const effect of takeEffects(this.state)) this.#run(effect);
  }

  #repeat(everyMs: number, run: (nowMs: number) => void): void {
    if (!this.isAlive) return;
    this.applyDecision(run);
    this.#world.runAfter(everyMs, () => this.#repeat(everyMs, run));
  }

  /** Extends the exclusive time of the role: another VM takes the role over only once the heartbeat is stale. */
  #sendHeartbeat(): void {
    if (!this.#world.hasRole(this)) return;
    this.state.roleExclusiveUntilMs = this.#world.readNow() + ROLE_EXCLUSIVE_MS;
    this.#world.receiveHeartbeat(this);
  }

  #readRows(): void {
    const rows = this.#listRows();
    if (!rows) return;
    updateEndpoints(this.state, rows, {
      nowMs: this.#world.readNow(),
      isListReliable: true,
    });
    for (const endpoint of this.#world.endpoints) {
      const isNew = this.state.endpoints.has(endpoint.id) &&
        !this.#polledEndpoints.has(endpoint.id);
      if (!isNew) continue;
      this.#polledEndpoints.add(endpoint.id);
      this.#list(endpoint, 0);
    }
  }

  #list(endpoint: FuzzEndpoint, failures: number): void {
    const { state } = this;
    const world = this.#world;
    const known = state.endpoints.get(endpoint.id);
    if (!this.isAlive) return;
    if (!known) {
      this.#polledEndpoints.delete(endpoint.id);
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
      timeoutMs: LIST_TIMEOUT_MS,
      run: (nowMs) => endpoint.list(order, nowMs),
      onAnswer: (listing) => {
        if (listing === "superseded") {
          this.applyDecision(() => setEndpointTakenOver(state, endpoint.id));
        } else {
          const receivedMs = this.#world.readNow();
          this.applyDecision(() =>
            applyListing(state, endpoint.id, { ...listing, sentMs, receivedMs })
          );
        }
        this.#world.runAfter(LIST_PAUSE_MS, () => this.#list(endpoint, 0));
      },
      onTimeout: () => {
        if (failures > 0) {
          this.applyDecision((nowMs) =>
            setEndpointUnresponsive(state, endpoint.id, {
              cause: world.isRefusing(endpoint) ? "broken" : "timedOut",
              nowMs,
            })
          );
        }
        this.#list(endpoint, failures + 1);
      },
    });
  }

  #run(effect: Effect): void {
    if (effect.type === "startTask") this.#start(effect);
    else if (effect.type === "stopRun") this.#stop(effect, 0);
    else this.#world.receiveEffect(this, effect);
  }

  #start(
    effect: Extract<Effect, { type: "startTask" }>,
    earlierSends = 0,
  ): void {
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
    const reply = (received: StartReply) => {
      const isStarting = known?.runs.get(task.name) === task &&
        task.run === run && task.phase === "starting" && !task.job.outcome;
      if (
        received.type === "unanswered" && isStarting &&
        canStartIn(this.state, known.row.dataCentre) &&
        earlierSends + 1 < MAX_START_SENDS
      ) {
        this.#start(effect, earlierSends + 1);
        return;
      }
      const answer = earlierSends > 0
        ? classifyRepeatedStart(received)
        : received;
      if (answer.type === "rejected" && answer.reason === "superseded") {
        this.applyDecision(() => setEndpointTakenOver(this.state, endpointId));
      }
      this.applyDecision((nowMs) =>
        applyStartReply(this.state, { endpointId, task, run }, {
          reply: answer,
          nowMs,
        })
      );
    };
    this.#world.recordSend(this, endpoint);
    const workMs = this.#world.readWorkMs(task.name);
    this.#call(endpoint, {
      timeoutMs: this.#readOrderTimeout(),
      run: (nowMs) => endpoint.start(order, { nowMs, workMs }),
      onAnswer: reply,
      onTimeout: () => reply({ type: "unanswered" }),
    });
  }

  #stop(effect: Extract<Effect, { type: "stopRun" }>, attempt: number): void {
    const { endpointId, task, run } = effect;
    const current = this.state.endpoints.get(endpointId)?.runs.get(task);
    const isCurrent = current?.run === run;
    if (!this.isAlive || attempt >= MAX_STOP_ATTEMPTS && !isCurrent) return;
    const endpoint = this.#findEndpoint(endpointId);
    const token = this.state.endpoints.get(endpointId)?.token ??
      this.state.token;
    const retry = () =>
      this.#world.runAfter(
        STOP_RETRY_DELAY_MS,
        () => this.#stop(effect, attempt + 1),
      );
    this.#call(endpoint, {
      timeoutMs: this.#readOrderTimeout(),
      run: (nowMs) => endpoint.stop({ task, run, token }, nowMs),
      onAnswer: (isDone) => {
        if (!isDone) retry();
        else {
          this.applyDecision((nowMs) =>
            applyStopReply(this.state, effect, nowMs)
          );
        }
      },
      onTimeout: retry,
    });
  }

  #readOrderTimeout(): number {
    return this.#world.hasSlowOrders()
      ? SLOW_ORDER_TIMEOUT_MS
      : ORDER_TIMEOUT_MS;
  }

  #findEndpoint(id: string): FuzzEndpoint {
    return this.#world.endpoints.find((one) => one.id === id) as FuzzEndpoint;
  }

  #call<Answer>(endpoint: FuzzEndpoint, call: {
    timeoutMs: number;
    run: (nowMs: number) => Answer;
    onAnswer: (answer: Answer) => void;
    onTimeout: () => void;
  }): void {
    const world = this.#world;
    const { requestMs, replyMs } = world.findCallDelays(
      this,
      endpoint,
    );
    const { processStartMs } = endpoint;
    let isFinished = false;
    const finish = (run: () => void) => {
      if (isFinished) return;
      isFinished = true;
      if (this.isAlive) run();
    };
    if (requestMs !== undefined) {
      world.runAfter(requestMs, () => {
        // A request to an endpoint process that was replaced is lost.
        if (endpoint.processStartMs !== processStartMs) return;
        const answer = call.run(world.readNow());
        if (replyMs === undefined) return;
        world.runAfter(replyMs, () => {
          if (endpoint.processStartMs !== processStartMs) return;
          finish(() => call.onAnswer(answer));
        });
      });
    }
    world.runAfter(call.timeoutMs, () => finish(call.onTimeout));
  }
}
