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

/** One way between the scheduler and an endpoint, in ms. */
const WAY_MS = 1.5;
/** Time between two listings of an endpoint without an end, in ms. */
const LIST_MS = 250;
/** How often the scheduler does what is due by time, in ms. */
const TICK_MS = 20;
/** Answers up to this many objectives late still earn the smaller credit. */
const LATE_FACTOR = 3;
/** Part of the credit that a late answer earns. */
const LATE_CREDIT = 0.2;
const LIMITS = {
  leaseMs: 1_000,
  stopMs: 50,
  remoteFactor: 1.5,
  resendMs: 1_300,
};

type Run = { run: number; beganMs: number; endsMs: number; isOver: boolean };
type Worker = {
  runs: Map<string, Run>;
  speed: number;
  ended: {
    number: number;
    task: string;
    run: number;
    how: "done" | "stopped";
  }[];
  count: number;
};

/** Plays a load against the scheduler's decisions, without network or processes, and tells what callers got. */
export function runLoad(load: ModelLoad, seed: number): ModelScore {
  const random = createRandom(seed);
  const jobs = createLoad(load, random);
  const events = new BinaryHeap<() => void>();
  const state = createSchedulerState(100, { limits: LIMITS, nowMs: 0 });
  const workers = new Map<string, Worker>();
  const byId = new Map<string, ModelJob>();
  const score: ModelScore = { owed: 0, earned: 0, kinds: {}, windows: [] };
  let nowMs = 0;

  function addEvent(atMs: number, act: () => void): void {
    events.push(() => {
      nowMs = atMs;
      act();
    }, atMs);
  }

  function act(decide: () => void): void {
    decide();
    for (const effect of takeEffects(state)) runEffect(effect);
  }

  function runEffect(effect: Effect): void {
    if (effect.type === "startTask") {
      addEvent(nowMs + WAY_MS, () => startRun(effect));
    } else if (effect.type === "stopRun") {
      const { endpointId, task, run } = effect;
      addEvent(
        nowMs + WAY_MS,
        () => endRun(endpointId, task, { run, how: "stopped" }),
      );
      addEvent(
        nowMs + 2 * WAY_MS,
        () => act(() => applyStopReply(state, effect, nowMs)),
      );
    } else if (effect.type === "notifyEnded") {
      earn(effect.jobId, effect.outcome.type);
    }
  }

  function startRun(start: Extract<Effect, { type: "startTask" }>): void {
    const worker = workers.get(start.endpointId) as Worker;
    const job = byId.get(start.task.job.order.id) as ModelJob;
    const index = start.task.job.tasks.indexOf(start.task);
    const endsMs = nowMs + job.taskMs[index] / worker.speed;
    const { run } = start;
    const { name } = start.task;
    worker.runs.set(name, { run, beganMs: nowMs, endsMs, isOver: false });
    addEvent(
      nowMs + WAY_MS,
      () =>
        act(() =>
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
    worker.count += 1;
    worker.ended.push({ number: worker.count, task, ...end });
    addEvent(nowMs + WAY_MS, () => list(id));
  }

  function list(id: string): void {
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
    act(() =>
      applyListing(state, id, {
        sentMs: nowMs - 2 * WAY_MS,
        receivedMs: nowMs,
        clockMs: nowMs,
        processStartMs: 1,
        running,
        ended,
      })
    );
  }

  function earn(id: string, type: string): void {
    const job = byId.get(id) as ModelJob;
    const tookMs = nowMs - job.atMs;
    const isDone = type === "completed";
    const part = !isDone || tookMs > LATE_FACTOR * job.objectiveMs
      ? 0
      : tookMs <= job.objectiveMs
      ? 1
      : LATE_CREDIT;
    score.earned += part * job.worth;
    const kind = score.kinds[job.kind];
    kind.earned += part;
    if (part === 1) kind.inTime += 1;
    else if (part > 0) kind.late += 1;
    else kind.lost += 1;
    score.windows[Math.floor(job.atMs / 2_000)].earned += part * job.worth;
  }

  function send(job: ModelJob): void {
    const sentMs = findSentMs(load, job);
    const ageMs = job.order.ageMs + nowMs - sentMs;
    const order = { ...job.order, ageMs };
    act(() => submitJob(state, order, { vm: "vm", nowMs }));
  }

  function repeatListing(id: string): void {
    list(id);
    addEvent(nowMs + LIST_MS, () => repeatListing(id));
  }

  function advanceTime(): void {
    act(() => advanceScheduler(state, nowMs));
    addEvent(nowMs + TICK_MS, advanceTime);
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
      count: 0,
    });
  });
  act(() => updateEndpoints(state, rows, { nowMs, isListReliable: true }));
  rows.forEach(({ id }, index) => addEvent(index, () => repeatListing(id)));
  advanceTime();
  for (let second = 0; second < load.lengthMs; second += 2_000) {
    score.windows.push({ owed: 0, earned: 0 });
  }
  for (const job of jobs) {
    byId.set(job.order.id, job);
    const kind = score.kinds[job.kind] ??= {
      owed: 0,
      earned: 0,
      inTime: 0,
      late: 0,
      lost: 0,
    };
    kind.owed += 1;
    score.owed += job.worth;
    score.windows[Math.floor(job.atMs / 2_000)].owed += job.worth;
    const sentMs = findSentMs(load, job);
    const { fromMs = 0, linkedMs = 0 } = load.outage ?? {};
    const isHeld = sentMs >= fromMs && sentMs < linkedMs;
    addEvent(isHeld ? linkedMs : sentMs, () => send(job));
  }
  while (nowMs < load.lengthMs + 8_000) (events.pop() as () => void)();
  return score;
}

/** When a job is sent so that somebody takes it. */
function findSentMs({ outage }: ModelLoad, { atMs }: ModelJob): number {
  if (!outage || atMs < outage.fromMs || atMs >= outage.toMs) return atMs;
  return Math.max(outage.toMs, atMs + outage.resendMs);
}
