import { advanceScheduler } from "../../src/scheduler/advance_scheduler.ts";
import { applyListing } from "../../src/scheduler/apply_listing.ts";
import { applyStartReply } from "../../src/scheduler/apply_start_reply.ts";
import { applyStopReply } from "../../src/scheduler/apply_stop_reply.ts";
import { createSchedulerState } from "../../src/scheduler/create_scheduler_state.ts";
import type { Effect } from "../../src/scheduler/effect.ts";
import { submitJob } from "../../src/scheduler/submit_job.ts";
import { takeEffects } from "../../src/scheduler/take_effects.ts";
import { updateEndpoints } from "../../src/scheduler/update_endpoints.ts";
import { BinaryHeap } from "../../src/utils/binary_heap.ts";
import { createRandom } from "../../src/utils/create_random.ts";
import { createLoad } from "./create_load.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelLoad } from "./model_load.ts";
import type { ModelScore } from "./model_score.ts";

/** One-way network latency between the scheduler and an endpoint, in ms. */
const ONE_WAY_LATENCY_MS = 1.5;
/** Time between two regular listings of an endpoint, in ms; each run end adds a listing. */
const LISTING_INTERVAL_MS = 250;
/** Time between two calls of `advanceScheduler`, in ms. */
const ADVANCE_INTERVAL_MS = 20;
/** A job that misses its latency objective still earns reduced credit if it takes at most this many times the objective. */
const MAX_LATE_FACTOR = 3;
/** Share of its credit that a late job earns. */
const LATE_CREDIT_SHARE = 0.2;
const SCHEDULER_LIMITS = {
  leaseMs: 1_000,
  maxListedEnds: 500,
  stopMs: 50,
  remoteFactor: 1.5,
  resendMs: 1_300,
};

type Run = { run: number; beganMs: number; endsMs: number; isOver: boolean };
type Worker = {
  runs: Map<string, Run>;
  speed: number;
  /** Run ends not listed yet. */
  ended: {
    number: number;
    task: string;
    run: number;
    how: "done" | "stopped";
  }[];
  lastEndNumber: number;
};

/** Runs a load against the scheduler's state machine in simulated time, without network or processes, and returns the credit earned. */
export function runLoad(load: ModelLoad, seed: number): ModelScore {
  const random = createRandom(seed);
  const jobs = createLoad(load, random);
  const events = new BinaryHeap<() => void>();
  const state = createSchedulerState(100, {
    limits: SCHEDULER_LIMITS,
    nowMs: 0,
  });
  const workers = new Map<string, Worker>();
  const jobsById = new Map<string, ModelJob>();
  const score: ModelScore = {
    possibleCredit: 0,
    earnedCredit: 0,
    kinds: {},
    windows: [],
  };
  let nowMs = 0;

  /** Schedules a callback at a simulated time. */
  function addEvent(atMs: number, run: () => void): void {
    events.push(() => {
      nowMs = atMs;
      run();
    }, atMs);
  }

  /** Applies an event to the scheduler's state and runs the effects that it returns. */
  function advance(applyEvent: () => void): void {
    applyEvent();
    for (const effect of takeEffects(state)) runEffect(effect);
  }

  function runEffect(effect: Effect): void {
    if (effect.type === "startTask") {
      addEvent(nowMs + ONE_WAY_LATENCY_MS, () => startRun(effect));
    } else if (effect.type === "stopRun") {
      const { endpointId, task, run } = effect;
      addEvent(
        nowMs + ONE_WAY_LATENCY_MS,
        () => endRun(endpointId, task, { run, how: "stopped" }),
      );
      addEvent(
        nowMs + 2 * ONE_WAY_LATENCY_MS,
        () => advance(() => applyStopReply(state, effect, nowMs)),
      );
    } else if (effect.type === "notifyEnded") {
      recordOutcome(effect.jobId, effect.outcome.type);
    }
  }

  function startRun(start: Extract<Effect, { type: "startTask" }>): void {
    const worker = workers.get(start.endpointId) as Worker;
    const job = jobsById.get(start.task.job.order.id) as ModelJob;
    const index = start.task.job.tasks.indexOf(start.task);
    const endsMs = nowMs + job.taskMs[index] / worker.speed;
    const { run } = start;
    const { name } = start.task;
    worker.runs.set(name, { run, beganMs: nowMs, endsMs, isOver: false });
    addEvent(
      nowMs + ONE_WAY_LATENCY_MS,
      () =>
        advance(() =>
          applyStartReply(state, start, { reply: { type: "accepted" }, nowMs })
        ),
    );
    addEvent(
      endsMs,
      () => endRun(start.endpointId, name, { run, how: "done" }),
    );
  }

  function endRun(
    id: string,
    task: string,
    end: { run: number; how: "done" | "stopped" },
  ): void {
    const worker = workers.get(id) as Worker;
    if (worker.runs.get(task)?.run !== end.run) return;
    worker.runs.delete(task);
    worker.lastEndNumber += 1;
    worker.ended.push({ number: worker.lastEndNumber, task, ...end });
    addEvent(nowMs + ONE_WAY_LATENCY_MS, () => applyEndpointListing(id));
  }

  function applyEndpointListing(id: string): void {
    const worker = workers.get(id) as Worker;
    const running = [...worker.runs].map(([task, run]) => ({
      task,
      run: run.run,
      progress: Math.min(
        0.99,
        (nowMs - run.beganMs) / (run.endsMs - run.beganMs),
      ),
    }));
    const { ended } = worker;
    worker.ended = [];
    advance(() =>
      applyListing(state, id, {
        sentMs: nowMs - 2 * ONE_WAY_LATENCY_MS,
        receivedMs: nowMs,
        clockMs: nowMs,
        processStartMs: 1,
        running,
        ended,
      })
    );
  }

  function recordOutcome(id: string, type: string): void {
    const job = jobsById.get(id) as ModelJob;
    const tookMs = nowMs - job.atMs;
    const isDone = type === "completed";
    const creditShare = !isDone || tookMs > MAX_LATE_FACTOR * job.objectiveMs
      ? 0
      : tookMs <= job.objectiveMs
      ? 1
      : LATE_CREDIT_SHARE;
    score.earnedCredit += creditShare * job.credit;
    const kind = score.kinds[job.kind];
    kind.earnedCredit += creditShare;
    if (creditShare === 1) kind.inTime += 1;
    else if (creditShare > 0) kind.late += 1;
    else kind.withoutCredit += 1;
    score.windows[Math.floor(job.atMs / 2_000)].earnedCredit += creditShare *
      job.credit;
  }

  function send(job: ModelJob): void {
    const sentMs = findSentMs(load, job);
    const ageMs = job.order.ageMs + nowMs - sentMs;
    const order = { ...job.order, ageMs };
    advance(() => submitJob(state, order, { vm: "vm", nowMs }));
  }

  function repeatListing(id: string): void {
    applyEndpointListing(id);
    addEvent(nowMs + LISTING_INTERVAL_MS, () => repeatListing(id));
  }

  function advanceTime(): void {
    advance(() => advanceScheduler(state, nowMs));
    addEvent(nowMs + ADVANCE_INTERVAL_MS, advanceTime);
  }

  const rows = load.endpoints.map(({ cpu }, index) => ({
    id: `e${index}`,
    address: "model",
    service: "model",
    dataCentre: "a",
    labels: [],
    room: { cpu, memoryMb: 1e6, gpus: 0 },
    isDraining: false,
  }));
  load.endpoints.forEach(({ speed }, index) => {
    workers.set(`e${index}`, {
      runs: new Map(),
      speed,
      ended: [],
      lastEndNumber: 0,
    });
  });
  advance(() => updateEndpoints(state, rows, { nowMs, isListReliable: true }));
  rows.forEach(({ id }, index) => addEvent(index, () => repeatListing(id)));
  advanceTime();
  for (let windowMs = 0; windowMs < load.durationMs; windowMs += 2_000) {
    score.windows.push({ possibleCredit: 0, earnedCredit: 0 });
  }
  for (const job of jobs) {
    jobsById.set(job.order.id, job);
    const kind = score.kinds[job.kind] ??= {
      possibleCredit: 0,
      earnedCredit: 0,
      inTime: 0,
      late: 0,
      withoutCredit: 0,
    };
    kind.possibleCredit += 1;
    score.possibleCredit += job.credit;
    score.windows[Math.floor(job.atMs / 2_000)].possibleCredit += job.credit;
    const sentMs = findSentMs(load, job);
    const { fromMs = 0, linkedMs = 0 } = load.outage ?? {};
    const waitsForScheduler = sentMs >= fromMs && sentMs < linkedMs;
    addEvent(waitsForScheduler ? linkedMs : sentMs, () => send(job));
  }
  // Jobs still open 8 s after the last arrivals earn no credit.
  while (nowMs < load.durationMs + 8_000) (events.pop() as () => void)();
  return score;
}

/** Finds the time at which a job is sent to a VM that accepts it: its arrival, or its repetition after an outage. */
function findSentMs({ outage }: ModelLoad, { atMs }: ModelJob): number {
  if (!outage || atMs < outage.fromMs || atMs >= outage.toMs) return atMs;
  return Math.max(outage.toMs, atMs + outage.resendMs);
}
