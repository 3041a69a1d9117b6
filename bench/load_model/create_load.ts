import type { ModelJob } from "./model_job.ts";
import type { ModelLoad } from "./model_load.ts";

/** Log-normal sigma of the work and the task count of jobs of one kind, and of callers' estimates; from the users' load sheets. */
const JOB_SIGMA = 0.4;
/** Log-normal sigma of the run times of the tasks within a job. */
const TASK_SIGMA = 0.15;
/** CPU that a task of a job needs, in millicores: log-normal over the jobs, capped at `max`. */
const TASK_CPU = { mean: 6_800, sigma: 0.2, max: 10_000 };
/** A job's latency objective is STRETCH times the run time of its longest task, plus SLACK_MS. */
const STRETCH = 1.6;
const SLACK_MS = 60;

/** Samples the jobs of a load: each kind arrives as a Poisson process whose rate rises during bursts. */
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
      if (atMs >= load.durationMs) break;
      jobs.push(createJob(kind, { atMs, number: jobs.length, random }));
    }
  }
  return jobs;
}

function createJob(
  kind: ModelLoad["kinds"][number],
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
  const objectiveMs = STRETCH * Math.max(...taskMs) + SLACK_MS;
  const cpu = Math.min(
    TASK_CPU.max,
    sampleLogNormal(TASK_CPU.mean, TASK_CPU.sigma, random),
  );
  const relativeWork = workMs * taskCount / (kind.workMs * kind.taskCount);
  return {
    kind: kind.name,
    atMs,
    taskMs,
    objectiveMs,
    credit: Math.min(4, 0.3 + 0.7 * relativeWork) * kind.credit,
    order: {
      id: String(number),
      route: kind.name,
      service: "model",
      spec: "",
      steps: [{
        count: taskCount,
        room: { cpu, memoryMb: 64, gpus: 0 },
        estimateMs: sampleLogNormal(workMs, JOB_SIGMA, random),
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
