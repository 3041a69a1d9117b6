import { createRandom } from "../../src/utils/create_random.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelKind } from "./model_kind.ts";
import type { ModelLoad } from "./model_load.ts";

/** Log-normal sigma of the work and the task count of jobs of one kind, and by default of callers' estimates. */
const JOB_SIGMA = 0.4;
/** Log-normal sigma of the run times of the tasks within a job. */
const TASK_SIGMA = 0.15;
/** A job's latency objective is STRETCH times the run time of its longest task, plus SLACK_MS. */
const STRETCH = 1.6;
const SLACK_MS = 60;
const MILLICORES = 1_000;
/** Distance between the seeds of the two random streams of a load. */
const STREAM_STEP = 1_000_003;

/**
 * Samples the jobs of a load; they depend on the load and the seed only. Each
 * kind arrives as a Poisson process whose rate follows waves and bursts. Data
 * centres, racks and tails have a random stream of their own, so that a load
 * with them has the same arrivals and sizes as one without.
 */
export function createLoad(load: ModelLoad, seed: number): ModelJob[] {
  const random = createRandom(seed);
  const place = createRandom(seed + STREAM_STEP);
  const racks = listRacks(load);
  const jobs: ModelJob[] = [];
  for (const kind of load.kinds) {
    let atMs = 0;
    while (true) {
      const rates = computeRates(load, kind, atMs);
      const rate = rates.reduce((sum, { perMs }) => sum + perMs, 0);
      atMs += -Math.log(1 - random()) / rate;
      if (atMs >= load.durationMs) break;
      const job = createJob(kind, { atMs, number: jobs.length, random });
      job.dataCentre = chooseDataCentre(rates, place() * rate);
      job.order.steps[0].rack = chooseRack({ load, kind, racks, atMs }, place);
      addTails(job, kind, place);
      jobs.push(job);
    }
  }
  return jobs;
}

type Rate = { dataCentre: string; perMs: number };

/** Computes the arrival rate of a kind by data centre. */
function computeRates(load: ModelLoad, kind: ModelKind, atMs: number): Rate[] {
  return load.callers.map(({ dataCentre, share, wave }) => {
    const factor = load.bursts
      .filter((burst) => (burst.kind ?? kind.name) === kind.name)
      .filter((burst) => (burst.dataCentre ?? dataCentre) === dataCentre)
      .filter(({ fromMs, toMs }) => atMs >= fromMs && atMs < toMs)
      .reduce((product, burst) => product * burst.factor, 1);
    const turn = wave ? atMs / wave.periodMs + wave.phase : 0;
    const swing = wave ? wave.swing * Math.sin(2 * Math.PI * turn) : 0;
    const perMs = kind.perSecond * share * factor * (1 + swing) / 1_000;
    return { dataCentre, perMs };
  });
}

function chooseDataCentre(rates: Rate[], draw: number): string {
  let remaining = draw;
  for (const { dataCentre, perMs } of rates) {
    remaining -= perMs;
    if (remaining < 0) return dataCentre;
  }
  return rates[rates.length - 1].dataCentre;
}

function listRacks(load: ModelLoad): string[] {
  const labels = load.endpoints.flatMap((endpoint) => endpoint.labels);
  return [...new Set(labels.filter((label) => label.startsWith("rack-")))];
}

/** Chooses the rack of a job's data, if it has one. */
function chooseRack(
  job: { load: ModelLoad; kind: ModelKind; racks: string[]; atMs: number },
  random: () => number,
): string | undefined {
  const { load, kind, racks, atMs } = job;
  const [hotDraw, shareDraw, rackDraw] = [random(), random(), random()];
  const hot = load.hotRacks.find(({ fromMs, toMs, ...rack }) =>
    rack.kind === kind.name && atMs >= fromMs && atMs < toMs
  );
  if (hot && hotDraw < hot.share) return hot.rack;
  if (shareDraw >= (kind.rackShare ?? 0)) return undefined;
  return racks[Math.floor(rackDraw * racks.length)];
}

/** Makes a share of the job's tasks longer, and with them its work and its objective. */
function addTails(job: ModelJob, kind: ModelKind, random: () => number): void {
  const { share, factor } = kind.tail ?? { share: 0, factor: 1 };
  job.taskMs = job.taskMs.map((ms) => random() < share ? ms * factor : ms);
  const totalMs = job.taskMs.reduce((sum, ms) => sum + ms, 0);
  job.work = totalMs * job.order.steps[0].room.cpu / MILLICORES;
  job.objectiveMs = STRETCH * Math.max(...job.taskMs) + SLACK_MS;
}

function createJob(
  kind: ModelKind,
  arrival: { atMs: number; number: number; random: () => number },
): ModelJob {
  const { atMs, number, random } = arrival;
  const taskCount = Math.max(
    1,
    Math.min(
      kind.taskCount * 4,
      Math.round(sampleLogNormal(kind.taskCount, JOB_SIGMA, random)),
    ),
  );
  const workMs = Math.min(
    kind.workMs * 4,
    sampleLogNormal(kind.workMs, JOB_SIGMA, random),
  );
  const taskMs = Array.from(
    { length: taskCount },
    () => sampleLogNormal(workMs, TASK_SIGMA, random),
  );
  const cpu = Math.min(
    kind.cpu.max,
    sampleLogNormal(kind.cpu.mean, kind.cpu.sigma, random),
  );
  const relativeWork = workMs * taskCount * cpu /
    (kind.workMs * kind.taskCount * kind.cpu.mean);
  const estimateSigma = kind.estimateSigma ?? JOB_SIGMA;
  return {
    kind: kind.name,
    dataCentre: "",
    atMs,
    taskMs,
    work: 0,
    objectiveMs: 0,
    credit: Math.min(4, 0.3 + 0.7 * relativeWork) * kind.credit,
    order: {
      id: String(number),
      route: kind.name,
      service: "model",
      spec: "",
      steps: [{
        count: taskCount,
        room: { cpu, memoryMb: 64, gpus: 0 },
        estimateMs: sampleLogNormal(workMs, estimateSigma, random),
        after: [],
      }],
      priority: kind.priority,
      maxAttempts: 3,
      stretch: STRETCH,
      slackMs: SLACK_MS,
      ageMs: 3,
      waitMs: 5_000,
    },
  };
}

/** Samples a log-normal distribution, given its mean and the sigma of its logarithm. */
function sampleLogNormal(
  mean: number,
  sigma: number,
  random: () => number,
): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return mean * Math.exp(sigma * normal - sigma * sigma / 2);
}
