import type { ModelOutcome } from "./model_outcome.ts";
import type { ModelTally } from "./model_tally.ts";

/** Computes the figures of a set of jobs. */
export function computeTally(outcomes: ModelOutcome[]): ModelTally {
  const jobs = outcomes.length;
  const sum = (read: (outcome: ModelOutcome) => number) =>
    outcomes.reduce((total, outcome) => total + read(outcome), 0);
  const startsMs = outcomes.map(({ firstStartMs }) => firstStartMs)
    .sort((one, other) => one - other);
  const readQuantile = (quantile: number) =>
    startsMs[Math.floor(quantile * jobs)] ?? NaN;
  return {
    jobs,
    creditShare: sum(({ job, creditShare }) => creditShare * job.credit) /
      sum(({ job }) => job.credit),
    servedShare: sum(({ creditShare }) => creditShare) / jobs,
    inTimeShare: sum(({ creditShare }) => creditShare === 1 ? 1 : 0) / jobs,
    startP50Ms: readQuantile(0.5),
    startP95Ms: readQuantile(0.95),
  };
}
