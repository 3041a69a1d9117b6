import type { ModelResult } from "./model_result.ts";

/** Computes the figures of a set of jobs; NaN where it is empty. */
export function computeTally(outcomes: ModelResult["outcomes"]) {
  const jobs = outcomes.length;
  const sum = (read: (outcome: typeof outcomes[number]) => number) =>
    outcomes.reduce((total, outcome) => total + read(outcome), 0);
  const startsMs = outcomes.map(({ firstStartMs }) => firstStartMs)
    .sort((one, other) => one - other);
  const readQuantile = (quantile: number) =>
    startsMs[Math.floor(quantile * jobs)] ?? NaN;
  return {
    jobs,
    /** Earned share of the possible credit. */
    creditShare: sum(({ job, creditShare }) => creditShare * job.credit) /
      sum(({ job }) => job.credit),
    /** The same with each job counting alike. */
    servedShare: sum(({ creditShare }) => creditShare) / jobs,
    /** Share of the jobs that met their objective. */
    inTimeShare: sum(({ creditShare }) => creditShare === 1 ? 1 : 0) / jobs,
    /** Time from the arrival to the first start of a task, in ms. */
    startP50Ms: readQuantile(0.5),
    startP95Ms: readQuantile(0.95),
  };
}
