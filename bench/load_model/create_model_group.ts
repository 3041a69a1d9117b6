import { advanceScheduler } from "../../src/scheduler/advance_scheduler.ts";
import { applyListing } from "../../src/scheduler/apply_listing.ts";
import { applyStartReply } from "../../src/scheduler/apply_start_reply.ts";
import { applyStopReply } from "../../src/scheduler/apply_stop_reply.ts";
import { createSchedulerState } from "../../src/scheduler/create_scheduler_state.ts";
import { describeGroupCapacity } from "../../src/scheduler/describe_group_capacity.ts";
import type { Effect } from "../../src/scheduler/effect.ts";
import type { EndpointRow } from "../../src/scheduler/endpoint_row.ts";
import type { SchedulerLimits } from "../../src/scheduler/scheduler_limits.ts";
import { submitJob } from "../../src/scheduler/submit_job.ts";
import { takeEffects } from "../../src/scheduler/take_effects.ts";
import { updateEndpoints } from "../../src/scheduler/update_endpoints.ts";
import { createModelWorker } from "./create_model_worker.ts";
import type { ModelClock } from "./model_clock.ts";
import type { ModelEndpoint } from "./model_endpoint.ts";
import type { ModelGroup } from "./model_group.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelWorker } from "./model_worker.ts";
import { ONE_WAY_LATENCY_MS } from "./one_way_latency_ms.ts";

/** Time between two regular listings of an endpoint, in ms; each run end adds a listing. */
const LISTING_INTERVAL_MS = 250;
/** Time between two calls of `advanceScheduler`, in ms. */
const ADVANCE_INTERVAL_MS = 20;
/** Time for which an endpoint drains before it ends, in ms. */
const DRAIN_MS = 2_000;

/** Creates a group whose scheduler runs in simulated time. */
export function createModelGroup(
  clock: ModelClock,
  options: {
    name: string;
    endpoints: ModelEndpoint[];
    limits: SchedulerLimits;
    hasOtherGroups: boolean;
    findJob: (id: string) => ModelJob;
    onStart: (job: ModelJob) => void;
    onStop: (job: ModelJob, ranMs: number) => void;
    /** Called with each effect that is not an order to an endpoint. */
    onEffect: (effect: Effect) => void;
  },
): ModelGroup {
  const { name, endpoints, limits, hasOtherGroups } = options;
  const state = createSchedulerState(100, {
    limits,
    nowMs: clock.readNow(),
    hasOtherGroups,
  });
  const workers = new Map<string, ModelWorker>();
  const ids = endpoints.map((_, index) => `${name}-${index}`);

  /** Applies an event to the scheduler's state and runs the effects that it returns. */
  function advance(applyEvent: (nowMs: number) => void): void {
    applyEvent(clock.readNow());
    for (const effect of takeEffects(state)) runEffect(effect);
  }

  function runAfter(afterMs: number, run: () => void): void {
    clock.runAt(clock.readNow() + afterMs, run);
  }

  function runEffect(effect: Effect): void {
    if (effect.type === "startTask") {
      runAfter(ONE_WAY_LATENCY_MS, () => startRun(effect));
    } else if (effect.type === "stopRun") {
      const { endpointId, task, run } = effect;
      const worker = workers.get(endpointId) as ModelWorker;
      runAfter(ONE_WAY_LATENCY_MS, () => worker.stop(task, run));
      runAfter(
        2 * ONE_WAY_LATENCY_MS,
        () => advance((nowMs) => applyStopReply(state, effect, nowMs)),
      );
    } else options.onEffect(effect);
  }

  function startRun(start: Extract<Effect, { type: "startTask" }>): void {
    const { task, run } = start;
    (workers.get(start.endpointId) as ModelWorker).start({
      job: options.findJob(task.job.order.id),
      index: task.job.tasks.indexOf(task),
      task: task.name,
      run,
    });
    const reply = { type: "accepted" } as const;
    runAfter(
      ONE_WAY_LATENCY_MS,
      () => advance((nowMs) => applyStartReply(state, start, { reply, nowMs })),
    );
  }

  function applyWorkerListing(id: string): void {
    const listing = (workers.get(id) as ModelWorker).list();
    advance((nowMs) =>
      applyListing(state, id, {
        sentMs: nowMs - 2 * ONE_WAY_LATENCY_MS,
        receivedMs: nowMs,
        clockMs: nowMs,
        processStartMs: 1,
        ...listing,
      })
    );
  }

  function repeatListing(id: string): void {
    applyWorkerListing(id);
    runAfter(LISTING_INTERVAL_MS, () => repeatListing(id));
  }

  function advanceTime(): void {
    advance((nowMs) => advanceScheduler(state, nowMs));
    runAfter(ADVANCE_INTERVAL_MS, advanceTime);
  }

  function createRow(endpoint: ModelEndpoint, id: string): EndpointRow {
    return {
      id,
      address: "model",
      service: "model",
      dataCentre: endpoint.dataCentre,
      labels: endpoint.labels,
      room: { cpu: endpoint.cpu, memoryMb: 1e6, gpus: 0 },
      isDraining: clock.readNow() >= (endpoint.toMs ?? Infinity) - DRAIN_MS,
    };
  }

  /** Applies the list of endpoints as it is now. */
  function readRows(): void {
    const rows = endpoints.flatMap((endpoint, index) =>
      clock.readNow() < (endpoint.fromMs ?? 0)
        ? []
        : [createRow(endpoint, ids[index])]
    );
    advance((nowMs) =>
      updateEndpoints(state, rows, { nowMs, isListReliable: true })
    );
  }

  endpoints.forEach((endpoint, index) => {
    const id = ids[index];
    const worker = createModelWorker(clock, {
      endpoint,
      remoteFactor: limits.remoteFactor,
      onStart: options.onStart,
      onStop: options.onStop,
      onEnd: () => runAfter(ONE_WAY_LATENCY_MS, () => applyWorkerListing(id)),
    });
    workers.set(id, worker);
  });
  readRows();
  endpoints.forEach(({ fromMs = 0, toMs }, index) => {
    clock.runAt(fromMs + index, () => repeatListing(ids[index]));
    if (fromMs > 0) clock.runAt(fromMs, readRows);
    if (toMs === undefined) return;
    clock.runAt(toMs - DRAIN_MS, readRows);
    clock.runAt(toMs, () => workers.get(ids[index])?.stopAll());
  });
  advanceTime();
  return {
    name,
    submit: (order) =>
      advance((nowMs) => submitJob(state, order, { vm: name, nowMs })),
    describeCapacity: () =>
      describeGroupCapacity(state).map((room) => ({ ...room, group: name })),
    setOtherCapacities: (capacities) => {
      state.otherGroupCapacities = capacities;
    },
  };
}
