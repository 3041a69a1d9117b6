import { computeBound } from "./compute_bound.ts";
import { computeTally } from "./compute_tally.ts";
import type { ModelLoad } from "./model_load.ts";
import type { ModelOutcome } from "./model_outcome.ts";
import type { ModelResult } from "./model_result.ts";
import type { ModelScore } from "./model_score.ts";
import type { ModelTally } from "./model_tally.ts";

const MS_PER_SECOND = 1_000;

/** Computes the figures of a load that was run. */
export function computeScore(load: ModelLoad, result: ModelResult): ModelScore {
  const { outcomes } = result;
  const byKind = splitByKey(outcomes, ({ job }) => job.kind);
  const windows = splitByTime(outcomes, load.durationMs, 2_000);
  const worst = windows.map(({ creditShare }) => creditShare)
    .filter((share) => !isNaN(share))
    .sort((one, other) => one - other)
    .slice(0, 2);
  return {
    total: computeTally(outcomes),
    kinds: computeTallies(byKind),
    sizes: computeTallies(splitBySize(byKind)),
    dataCentres: computeTallies(
      splitByKey(outcomes, ({ job }) => job.dataCentre),
    ),
    windows,
    seconds: Object.fromEntries(
      [...byKind].map(([kind, jobs]) => [
        kind,
        splitByTime(jobs, load.durationMs, MS_PER_SECOND),
      ]),
    ),
    worstWindows: worst.reduce((sum, share) => sum + share, 0) / worst.length,
    boundShare: computeBound(load, outcomes.map(({ job }) => job)),
    stoppedRuns: result.stoppedRuns,
    stoppedCoreSeconds: result.stoppedWork / MS_PER_SECOND,
    passedJobs: outcomes.filter(({ wasPassed }) => wasPassed).length,
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
