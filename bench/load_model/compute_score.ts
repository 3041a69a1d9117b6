import { computeBound } from "./compute_bound.ts";
import { computeTally } from "./compute_tally.ts";
import type { ModelLoad } from "./model_load.ts";
import type { ModelResult } from "./model_result.ts";

const MS_PER_SECOND = 1_000;

type ModelTally = ReturnType<typeof computeTally>;
type ModelOutcome = ModelResult["outcomes"][number];

/** Computes the figures of a load over all its runs, one for each seed; counts are means of a run. */
export function computeScore(load: ModelLoad, runs: ModelResult[]) {
  const outcomes = runs.flatMap((run) => run.outcomes);
  const computeMean = (read: (run: ModelResult) => number) =>
    runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
  const byKind = splitByKey(outcomes, ({ job }) => job.kind);
  const windows = splitByTime(outcomes, load.durationMs, 2_000);
  const worst = windows.map(({ creditShare }) => creditShare)
    .filter((share) => !isNaN(share))
    .sort((one, other) => one - other)
    .slice(0, 2);
  return {
    name: load.name,
    total: computeTally(outcomes),
    kinds: computeTallies(byKind),
    /** By kind and size class: the largest tenth of a kind by work, the fifth below it, the rest. */
    sizes: computeTallies(splitBySize(byKind)),
    dataCentres: computeTallies(
      splitByKey(outcomes, ({ job }) => job.dataCentre),
    ),
    /** By time of arrival, in windows of 2 s. */
    windows,
    /** By kind and second of arrival. */
    seconds: Object.fromEntries(
      [...byKind].map(([kind, jobs]) => [
        kind,
        splitByTime(jobs, load.durationMs, MS_PER_SECOND),
      ]),
    ),
    /** Mean of the two lowest credit shares of the windows. */
    worstWindows: worst.reduce((sum, share) => sum + share, 0) / worst.length,
    /** Upper bound of the share of the possible credit, whatever the policy. */
    boundShare: computeMean((run) =>
      computeBound(load, run.outcomes.map(({ job }) => job))
    ),
    stoppedRuns: computeMean(({ stoppedRuns }) => stoppedRuns),
    stoppedCoreSeconds: computeMean(({ stoppedWork }) => stoppedWork) /
      MS_PER_SECOND,
    passedJobs: computeMean((run) =>
      run.outcomes.filter(({ wasPassed }) => wasPassed).length
    ),
  };
}

function splitByKey(
  outcomes: ModelOutcome[],
  readKey: (outcome: ModelOutcome) => string,
): Map<string, ModelOutcome[]> {
  const groups = new Map<string, ModelOutcome[]>();
  for (const outcome of outcomes) {
    const key = readKey(outcome);
    const group = groups.get(key);
    if (group) group.push(outcome);
    else groups.set(key, [outcome]);
  }
  return groups;
}

/** Splits each kind into its size classes. */
function splitBySize(
  byKind: Map<string, ModelOutcome[]>,
): Map<string, ModelOutcome[]> {
  const sizes = new Map<string, ModelOutcome[]>();
  for (const [kind, outcomes] of byKind) {
    const sorted = outcomes.toSorted((one, other) =>
      other.job.work - one.job.work
    );
    const [tenth, third] = [0.1, 0.3].map((share) =>
      Math.ceil(share * sorted.length)
    );
    sizes.set(`${kind}, largest tenth`, sorted.slice(0, tenth));
    sizes.set(`${kind}, fifth below`, sorted.slice(tenth, third));
    sizes.set(`${kind}, rest`, sorted.slice(third));
  }
  return sizes;
}

function splitByTime(
  outcomes: ModelOutcome[],
  durationMs: number,
  windowMs: number,
): ModelTally[] {
  const windows: ModelOutcome[][] = Array.from(
    { length: Math.ceil(durationMs / windowMs) },
    () => [],
  );
  for (const outcome of outcomes) {
    windows[Math.floor(outcome.job.atMs / windowMs)].push(outcome);
  }
  return windows.map(computeTally);
}

function computeTallies(
  groups: Map<string, ModelOutcome[]>,
): Record<string, ModelTally> {
  return Object.fromEntries(
    [...groups].map(([name, outcomes]) => [name, computeTally(outcomes)]),
  );
}
