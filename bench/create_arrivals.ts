import { createRandom } from "../src/utils/create_random.ts";
import type { Arrival } from "./arrival.ts";
import { sampleTaskRunTimes } from "./sample_task_run_times.ts";
import type { Scenario } from "./scenario.ts";

/** Number of jobs that arrive at once in a burst. */
const BURST_JOBS = 300;
/** Mean time from the sending of a job to its cancellation, in ms; uniform from 0 to twice this. */
const MEAN_CANCEL_DELAY_MS = 200;

/** Creates the arrivals of a scenario, in order of time: an open-loop Poisson process that the seed determines. */
export function createArrivals(scenario: Scenario, seed: number): Arrival[] {
  const random = createRandom(seed);
  const capacity = computeCapacity(scenario);
  const arrivals = createClientArrivals(scenario, random, {
    client: "guild",
    workPerMs: scenario.load * capacity,
  });
  if (scenario.floodLoad) {
    const workPerMs = scenario.floodLoad * capacity;
    arrivals.push(
      ...createClientArrivals(scenario, random, { client: "flood", workPerMs }),
    );
  }
  const burst = scenario.faults?.find((fault) => fault.type === "burst");
  for (let job = 0; burst && job < BURST_JOBS; job += 1) {
    arrivals.push(createArrival(scenario, random, {
      atMs: burst.atMs,
      client: "guild",
    }));
  }
  return arrivals.sort((one, other) => one.atMs - other.atMs);
}

/** Computes the work that all endpoints together do per ms, as run time at an endpoint of slowness 1. */
function computeCapacity(scenario: Scenario): number {
  return scenario.endpoints.reduce(
    (sum, { count, slots, slowness }) => sum + count * slots / slowness,
    0,
  );
}

function createClientArrivals(
  scenario: Scenario,
  random: () => number,
  options: { client: Arrival["client"]; workPerMs: number },
): Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < scenario.durationMs) {
    const arrival = createArrival(scenario, random, {
      atMs,
      client: options.client,
    });
    arrivals.push(arrival);
    const workMs = computeMeanWork(scenario);
    atMs += -Math.log(1 - random()) * workMs / options.workPerMs;
  }
  return arrivals;
}

/** Estimates the mean work of a job, in ms, from samples with a fixed seed. */
function computeMeanWork(scenario: Scenario): number {
  const random = createRandom(0);
  const samples = 2_000;
  let workMs = meanWorkMs.get(scenario.jobs);
  if (workMs !== undefined) return workMs;
  workMs = 0;
  for (let sample = 0; sample < samples; sample += 1) {
    const runTimes = sampleTaskRunTimes(scenario.jobs, random);
    workMs += runTimes.reduce((sum, runMs) => sum + runMs, 0) / samples;
  }
  meanWorkMs.set(scenario.jobs, workMs);
  return workMs;
}

/** Results of `computeMeanWork` by mix of jobs. */
const meanWorkMs = new Map<Scenario["jobs"], number>();

function createArrival(
  scenario: Scenario,
  random: () => number,
  options: { atMs: number; client: Arrival["client"] },
): Arrival {
  const runMs = sampleTaskRunTimes(scenario.jobs, random);
  const isNeverRunnable = random() < (scenario.neverRunnableShare ?? 0);
  const isCancelled = random() < (scenario.cancelShare ?? 0);
  const { maxDeclaredErrorFactor } = scenario;
  return {
    ...options,
    runMs,
    service: isNeverRunnable ? "nowhere" : "proof",
    cancelAfterMs: isCancelled
      ? 2 * MEAN_CANCEL_DELAY_MS * random()
      : undefined,
    declaredMs: maxDeclaredErrorFactor === undefined
      ? undefined
      : runMs.map((taskMs) =>
        taskMs * maxDeclaredErrorFactor ** (2 * random() - 1)
      ),
  };
}
