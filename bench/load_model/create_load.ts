import type { ModelJob } from "./model_job.ts";
import type { ModelLoad } from "./model_load.ts";

/** Spread of a kind's work from job to job, and of callers' estimates, as in the users' sheets. */
const SPREAD = 0.4;
/** Spread among the tasks of a job. */
const UNEVEN = 0.15;
const CPU = { mean: 6_800, spread: 0.2, most: 10_000 };
const STRETCH = 1.6;
const SLACK_MS = 60;

/** Draws the jobs of a load. */
export function createLoad(
  load: ModelLoad,
  random: () => number,
): ModelJob[] {
  const jobs: ModelJob[] = [];
  for (const kind of load.kinds) {
    let atMs = 0;
    while (true) {
      const factor = load.bursts
        .filter((burst) => burst.kind === undefined || burst.kind === kind.name)
        .filter(({ fromMs, toMs }) => atMs >= fromMs && atMs < toMs)
        .reduce((product, burst) => product * burst.factor, 1);
      const rate = kind.perSecond * factor / 1_000;
      atMs += -Math.log(1 - random()) / rate;
      if (atMs >= load.lengthMs) break;
      jobs.push(createJob(kind, { atMs, number: jobs.length, random }));
    }
  }
  return jobs;
}

function createJob(
  kind: ModelLoad["kinds"][number],
  draw: { atMs: number; number: number; random: () => number },
): ModelJob {
  const { atMs, number, random } = draw;
  const width = Math.max(
    1,
    Math.min(
      kind.width * 4,
      Math.round(sampleSpread(kind.width, SPREAD, random)),
    ),
  );
  const workMs = Math.min(
    kind.workMs * 4,
    sampleSpread(kind.workMs, SPREAD, random),
  );
  const taskMs = Array.from(
    { length: width },
    () => sampleSpread(workMs, UNEVEN, random),
  );
  const objectiveMs = STRETCH * Math.max(...taskMs) + SLACK_MS;
  const cpu = Math.min(CPU.most, sampleSpread(CPU.mean, CPU.spread, random));
  const size = workMs * width / (kind.workMs * kind.width);
  return {
    kind: kind.name,
    atMs,
    taskMs,
    objectiveMs,
    worth: Math.min(4, 0.3 + 0.7 * size) * kind.worth,
    order: {
      id: String(number),
      route: kind.name,
      service: "model",
      spec: "",
      steps: [{
        count: width,
        room: { cpu, memoryMb: 64, gpus: 0 },
        estimateMs: sampleSpread(workMs, SPREAD, random),
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

/** Draws from a log-normal distribution of a mean and a spread. */
function sampleSpread(
  mean: number,
  sigma: number,
  random: () => number,
): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return mean * Math.exp(sigma * normal - sigma * sigma / 2);
}
