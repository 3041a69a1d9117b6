import { createRandom } from "../src/utils/create_random.ts";
import type { Arrival } from "./arrival.ts";
import { sampleJob } from "./sample_job.ts";
import type { Scenario } from "./scenario.ts";

const BURST_JOBS = 300;
/** Mean of cancelled jobs' time until they are cancelled, in ms. */
const CANCEL_MS = 200;

/** Creates a scenario's arrivals: open loop, Poisson, the same for the same seed. */
export function createArrivals(scenario: Scenario, seed: number): Arrival[] {
  const random = createRandom(seed);
  const capacity = computeCapacity(scenario);
  const arrivals = createClient(scenario, random, {
    client: "guild",
    workPerMs: scenario.load * capacity,
  });
  if (scenario.flooding) {
    const workPerMs = scenario.flooding * capacity;
    arrivals.push(
      ...createClient(scenario, random, { client: "flood", workPerMs }),
    );
  }
  const burst = scenario.faults?.find((fault) => fault.act === "burst");
  for (let job = 0; burst && job < BURST_JOBS; job += 1) {
    arrivals.push(createArrival(scenario, random, {
      atMs: burst.atMs,
      client: "guild",
    }));
  }
  return arrivals.sort((one, other) => one.atMs - other.atMs);
}

/** Run time at an average endpoint that all endpoints get through per ms. */
function computeCapacity(scenario: Scenario): number {
  return scenario.endpoints.reduce(
    (sum, { count, slots, slowness }) => sum + count * slots / slowness,
    0,
  );
}

function createClient(
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

function computeMeanWork(scenario: Scenario): number {
  const random = createRandom(0);
  const samples = 2_000;
  let workMs = meanWork.get(scenario.jobs);
  if (workMs !== undefined) return workMs;
  workMs = 0;
  for (let sample = 0; sample < samples; sample += 1) {
    const job = sampleJob(scenario.jobs, random);
    workMs += job.reduce((sum, one) => sum + one, 0) / samples;
  }
  meanWork.set(scenario.jobs, workMs);
  return workMs;
}

const meanWork = new Map<Scenario["jobs"], number>();

function createArrival(
  scenario: Scenario,
  random: () => number,
  options: { atMs: number; client: Arrival["client"] },
): Arrival {
  const runMs = sampleJob(scenario.jobs, random);
  const isNowhere = random() < (scenario.neverRunnableShare ?? 0);
  const isCancelled = random() < (scenario.cancelShare ?? 0);
  const { declaredFactor } = scenario;
  return {
    ...options,
    runMs,
    service: isNowhere ? "nowhere" : "proof",
    cancelAfterMs: isCancelled ? 2 * CANCEL_MS * random() : undefined,
    declaredMs: declaredFactor === undefined
      ? undefined
      : runMs.map((one) => one * declaredFactor ** (2 * random() - 1)),
  };
}
