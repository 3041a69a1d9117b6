import { computeQuantiles } from "./compute_quantiles.ts";
import { createArrivals } from "./create_arrivals.ts";
import { sendLoad } from "./send_load.ts";
import { injectFault } from "./inject_fault.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { RunRecord } from "./run_record.ts";
import { readProcessUsage } from "./read_process_usage.ts";
import type { Scenario } from "./scenario.ts";
import { startSystem } from "./start_system.ts";
import type { BenchSystem } from "./bench_system.ts";

/** Tasks with a shorter run time count as short, in ms. */
const SHORT_TASK_MS = 300;
const BYTES_PER_MB = 1_048_576;

type Counts = {
  requests: number;
  refusals: number;
  cancels: number;
  starts: number;
  mostConnections: number;
  mostRunning: number;
};
type PlatformCounts = {
  transactions: number;
  objectWrites: number;
  scans: number;
};

/** Runs a scenario against real processes and returns its figures. `routing` is a routing policy, `default` or `naive`. */
export async function runScenario(
  scenario: Scenario,
  options: { seed: number; routing: string },
): Promise<RunRecord> {
  const { seed, routing } = options;
  const isNaive = routing === "naive";
  const policy = isNaive || routing === "default" ? {} : { routing };
  const system = await startSystem(scenario, { seed, policy, isNaive });
  try {
    return await measure(scenario, system, options);
  } finally {
    system.stop();
  }
}

async function measure(
  scenario: Scenario,
  system: BenchSystem,
  options: { seed: number; routing: string },
): Promise<RunRecord> {
  const arrivals = createArrivals(scenario, options.seed);
  const before = readUsages(system);
  const platformBefore = await readPlatformCounts(system);
  const startedAtMs = performance.now();
  let after = before;
  const outcomes = await sendLoad(scenario, arrivals, {
    urls: system.urls,
    onStart: () => {
      for (const { atMs, type } of scenario.faults ?? []) {
        setTimeout(() => injectFault(system, type), atMs);
      }
    },
  });
  const tookMs = performance.now() - startedAtMs;
  after = readUsages(system);
  const platformAfter = await readPlatformCounts(system);
  const counts = await readEndpointCounts(system);
  const claimMs = await readClaimMs(system);
  return createRecord(scenario, options, {
    outcomes,
    counts,
    claimMs,
    tookMs,
    before,
    after,
    platform: computeDifference(platformAfter, platformBefore),
  });
}

function readUsages(system: BenchSystem) {
  return {
    entries: system.entries.map((entry) => readProcessUsage(entry.pid)),
    control: system.control ? readProcessUsage(system.control.pid) : undefined,
  };
}

async function readPlatformCounts(
  system: BenchSystem,
): Promise<PlatformCounts> {
  return await (await fetch(`${system.platformUrl}/counts`)).json();
}

/** Reads the mean duration of a log append, in ms, from the entry that made the most appends. */
async function readClaimMs(system: BenchSystem): Promise<number> {
  const mostAppends = { count: 0, meanMs: 0 };
  for (const url of system.urls()) {
    const reply = await fetch(`${url}/status`, {
      headers: { authorization: "Bearer ada-token" },
    });
    if (!reply.ok) continue;
    const status = await reply.json();
    if (status.appends.count > mostAppends.count) {
      Object.assign(mostAppends, status.appends);
    }
  }
  return mostAppends.meanMs;
}

async function readEndpointCounts(system: BenchSystem): Promise<Counts[]> {
  return await Promise.all(system.endpointUrls.map(async (url) => {
    return await (await fetch(new URL("/counts", url))).json();
  }));
}

function computeDifference(after: PlatformCounts, before: PlatformCounts) {
  return {
    transactions: after.transactions - before.transactions,
    objectWrites: after.objectWrites - before.objectWrites,
    scans: after.scans - before.scans,
  };
}

function createRecord(
  scenario: Scenario,
  options: { seed: number; routing: string },
  run: {
    outcomes: JobOutcome[];
    counts: Counts[];
    claimMs: number;
    tookMs: number;
    before: ReturnType<typeof readUsages>;
    after: ReturnType<typeof readUsages>;
    platform: PlatformCounts;
  },
): RunRecord {
  const { outcomes, counts, tookMs, before, after, platform } = run;
  const complete = outcomes.filter((one) => one.status === "complete");
  const starts = computeSum(counts.map((one) => one.starts));
  const completeTasks = computeSum(
    complete.map((one) => one.arrival.runMs.length),
  );
  const cpuMs = after.entries.map((usage, index) =>
    Math.max(0, usage.cpuMs - before.entries[index].cpuMs)
  );
  const refusals = computeSum(counts.map((one) => one.refusals));
  const cancels = computeSum(counts.map((one) => one.cancels));
  const failures = Math.max(0, starts - completeTasks);
  const slots = scenario.endpoints.flatMap((group) =>
    Array.from({ length: group.count }, () => group.slots)
  );
  const perJob = (count: number) => count / Math.max(1, complete.length);
  const perSecond = (count: number) => count * 1_000 / tookMs;
  return {
    scenario: scenario.name,
    way: options.routing,
    seed: options.seed,
    shards: scenario.shards,
    entries: scenario.entries,
    taskRatio: computeQuantiles(complete.flatMap(listTaskRatios)),
    shortTaskRatio: computeQuantiles(
      complete.flatMap((one) =>
        listTaskRatios(one).filter((_, index) =>
          one.arrival.runMs[index] < SHORT_TASK_MS
        )
      ),
    ),
    jobRatio: computeQuantiles(complete.map(computeJobRatio)),
    jobOverheadMs: computeQuantiles(
      complete.map((one) => one.responseMs - Math.max(...one.arrival.runMs)),
    ),
    claimMs: run.claimMs,
    guildJobRatio: computeQuantiles(
      complete.filter((one) => one.arrival.client === "guild")
        .map(computeJobRatio),
    ),
    refusalMs: computeQuantiles(
      outcomes.filter((one) => one.status === "refused")
        .map((one) => one.answerMs),
    ),
    jobs: {
      sent: outcomes.length,
      complete: complete.length,
      failed: outcomes.filter((one) => one.status === "failed").length,
      refused: outcomes.filter((one) => one.status === "refused").length,
      broken: outcomes.filter((one) => one.status === "broken").length,
    },
    kinds: countKinds(outcomes),
    goodput: computeGoodput(scenario, complete),
    extraMessages: (2 * refusals + 2 * cancels) / Math.max(1, starts),
    extra: { refusals, failures, cancels },
    mostConnections: Math.max(...counts.map((one) => one.mostConnections)),
    mostRunningOverSlots: Math.max(
      ...counts.map((one, index) => one.mostRunning - slots[index]),
    ),
    platform: {
      transactions: perJob(platform.transactions),
      objectWrites: perJob(platform.objectWrites),
      scans: perJob(platform.scans),
    },
    platformPerSecond: {
      transactions: perSecond(platform.transactions),
      objectWrites: perSecond(platform.objectWrites),
      scans: perSecond(platform.scans),
    },
    startsPerCoreSecond: starts * 1_000 / Math.max(1, computeSum(cpuMs)),
    startsPerSecond: perSecond(starts),
    entryCores: computeSum(cpuMs) / tookMs,
    busiestEntryCores: Math.max(...cpuMs) / tookMs,
    controlCores: after.control && before.control
      ? (after.control.cpuMs - before.control.cpuMs) / tookMs
      : 0,
    entryRssMb: Math.max(...after.entries.map((one) => one.rssBytes)) /
      BYTES_PER_MB,
    controlRssMb: (after.control?.rssBytes ?? 0) / BYTES_PER_MB,
  };
}

function listTaskRatios(outcome: JobOutcome): number[] {
  return outcome.taskMs.map((ms, index) => ms / outcome.arrival.runMs[index]);
}

function computeJobRatio(outcome: JobOutcome): number {
  return outcome.responseMs / Math.max(...outcome.arrival.runMs);
}

/** Computes the work that complete jobs had done while jobs arrived, relative to the capacity of the endpoints in that time. */
function computeGoodput(scenario: Scenario, complete: JobOutcome[]): number {
  const { durationMs } = scenario;
  const workMs = computeSum(
    complete.map((one) => computeWorkWithin(one, durationMs)),
  );
  const capacity = computeSum(
    scenario.endpoints.map(({ count, slots, slowness }) =>
      count * slots / slowness
    ),
  );
  return workMs / (capacity * durationMs);
}

function computeWorkWithin(outcome: JobOutcome, durationMs: number): number {
  const { runMs, atMs } = outcome.arrival;
  return computeSum(
    runMs.filter((_, index) => atMs + outcome.taskMs[index] <= durationMs),
  );
}

function countKinds(outcomes: JobOutcome[]): Record<string, number> {
  const kinds: Record<string, number> = {};
  for (const { kind } of outcomes) {
    if (kind !== undefined) kinds[kind] = (kinds[kind] ?? 0) + 1;
  }
  return kinds;
}

function computeSum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
