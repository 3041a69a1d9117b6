import type { GroupCapacity } from "../../src/decide/group_capacity.ts";
import type { Effect } from "../../src/scheduler/effect.ts";
import type { SchedulerLimits } from "../../src/scheduler/scheduler_limits.ts";
import { createLoad } from "./create_load.ts";
import { createModelClock } from "./create_model_clock.ts";
import { createModelGroup } from "./create_model_group.ts";
import type { ModelGroup } from "./model_group.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelLoad } from "./model_load.ts";
import type { ModelOutcome } from "./model_outcome.ts";
import type { ModelResult } from "./model_result.ts";
import { ONE_WAY_LATENCY_MS } from "./one_way_latency_ms.ts";

/** A job that misses its latency objective still earns reduced credit if it takes at most this many times the objective. */
const MAX_LATE_FACTOR = 3;
/** Share of its credit that a late job earns. */
const LATE_CREDIT_SHARE = 0.2;
/** Time after the last arrivals at which jobs that are still open earn no credit, in ms. */
const DRAIN_MS = 8_000;
/** Interval at which groups publish their free capacity and read that of the others, in ms. */
const SUMMARY_INTERVAL_MS = 100;
/** Time of a call of the store, in ms. */
const STORE_CALL_MS = 4;
const MILLICORES = 1_000;
const SCHEDULER_LIMITS: SchedulerLimits = {
  leaseMs: 1_000,
  maxListedEnds: 500,
  stopMs: 50,
  remoteFactor: 1.5,
  resendMs: 1_300,
};

/** Runs a load against the schedulers' state machines in simulated time, without network or processes. */
export function runLoad(
  load: ModelLoad,
  seed: number,
  limits: Partial<SchedulerLimits> = {},
): ModelResult {
  const jobs = createLoad(load, seed);
  const clock = createModelClock();
  const open = new Map<string, ModelOutcome>();
  const result: ModelResult = { outcomes: [], stoppedRuns: 0, stoppedWork: 0 };
  const groups = new Map<string, ModelGroup>();

  function findOpen(id: string): ModelOutcome {
    return open.get(id) as ModelOutcome;
  }

  function recordStart(job: ModelJob): void {
    const outcome = findOpen(job.order.id);
    const firstStartMs = clock.readNow() - job.atMs;
    outcome.firstStartMs = Math.min(outcome.firstStartMs, firstStartMs);
  }

  function recordStop(job: ModelJob, ranMs: number): void {
    result.stoppedRuns += 1;
    result.stoppedWork += ranMs * job.order.steps[0].room.cpu / MILLICORES;
  }

  function applyEffect(effect: Effect): void {
    if (effect.type === "notifyEnded") {
      const outcome = findOpen(effect.jobId);
      const tookMs = clock.readNow() - outcome.job.atMs;
      const isDone = effect.outcome.type === "completed";
      outcome.creditShare = isDone
        ? computeCreditShare(outcome.job, tookMs)
        : 0;
      outcome.firstStartMs = Math.min(outcome.firstStartMs, tookMs);
    } else if (effect.type === "notifyPassed") {
      const outcome = findOpen(effect.jobId);
      outcome.wasPassed = true;
      const target = groups.get(effect.group) as ModelGroup;
      const atMs = clock.readNow() + 2 * ONE_WAY_LATENCY_MS;
      clock.runAt(atMs, () => submit(target, outcome));
    }
  }

  function submit(group: ModelGroup, outcome: ModelOutcome): void {
    const { job, wasPassed } = outcome;
    const { ageMs } = job.order;
    const waitedMs = clock.readNow() - findSentMs(load, job);
    group.submit({ ...job.order, ageMs: ageMs + waitedMs, wasPassed });
  }

  for (const name of listGroupNames(load)) {
    const group = createModelGroup(clock, {
      name,
      endpoints: load.endpoints.filter((endpoint) =>
        findGroupName(load, endpoint.dataCentre) === name
      ),
      limits: { ...SCHEDULER_LIMITS, ...limits },
      hasOtherGroups: load.groups === "byDataCentre",
      findJob: (id) => findOpen(id).job,
      onStart: recordStart,
      onStop: recordStop,
      onEffect: applyEffect,
    });
    groups.set(name, group);
  }
  if (groups.size > 1) repeatSummaries(clock, [...groups.values()]);
  for (const job of jobs) {
    const outcome: ModelOutcome = {
      job,
      creditShare: 0,
      firstStartMs: load.durationMs + DRAIN_MS - job.atMs,
      wasPassed: false,
    };
    open.set(job.order.id, outcome);
    result.outcomes.push(outcome);
    const group = groups.get(findGroupName(load, job.dataCentre));
    const sentMs = findSentMs(load, job);
    const { fromMs = 0, linkedMs = 0 } = load.outage ?? {};
    const waitsForScheduler = sentMs >= fromMs && sentMs < linkedMs;
    const atMs = waitsForScheduler ? linkedMs : sentMs;
    clock.runAt(atMs, () => submit(group as ModelGroup, outcome));
  }
  clock.runUntil(load.durationMs + DRAIN_MS);
  return result;
}

/** Publishes the free capacity of each group regularly, and lets each read what the others published. */
function repeatSummaries(
  clock: ReturnType<typeof createModelClock>,
  groups: ModelGroup[],
): void {
  const published = new Map<string, GroupCapacity[]>();
  function runEvery(atMs: number, run: () => void): void {
    clock.runAt(atMs, () => {
      run();
      runEvery(atMs + SUMMARY_INTERVAL_MS, run);
    });
  }
  groups.forEach((group, index) => {
    const phaseMs = index * SUMMARY_INTERVAL_MS / groups.length;
    runEvery(phaseMs, () => {
      const capacities = group.describeCapacity();
      const atMs = clock.readNow() + STORE_CALL_MS;
      clock.runAt(atMs, () => published.set(group.name, capacities));
    });
    runEvery(phaseMs + SUMMARY_INTERVAL_MS / 2, () => {
      const others = [...published].flatMap(([name, capacities]) =>
        name === group.name ? [] : capacities
      );
      const read = others.map((capacity) => ({ ...capacity }));
      const atMs = clock.readNow() + STORE_CALL_MS;
      clock.runAt(atMs, () => group.setOtherCapacities(read));
    });
  });
}

function computeCreditShare(job: ModelJob, tookMs: number): number {
  if (tookMs <= job.objectiveMs) return 1;
  return tookMs <= MAX_LATE_FACTOR * job.objectiveMs ? LATE_CREDIT_SHARE : 0;
}

function listGroupNames(load: ModelLoad): string[] {
  const names = load.endpoints.map(({ dataCentre }) =>
    findGroupName(load, dataCentre)
  );
  return [...new Set(names)];
}

function findGroupName({ groups }: ModelLoad, dataCentre: string): string {
  return groups === "one" ? "all" : dataCentre;
}

/** Finds the time at which a job is sent to a VM that accepts it: its arrival, or its repetition after an outage. */
function findSentMs({ outage }: ModelLoad, { atMs }: ModelJob): number {
  if (!outage || atMs < outage.fromMs || atMs >= outage.toMs) return atMs;
  return Math.max(outage.toMs, atMs + outage.resendMs);
}
