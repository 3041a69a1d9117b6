import type { ModelRecord } from "./model_record.ts";
import type { ModelTally } from "./model_tally.ts";

/** Formats the score of a case as a few lines of text. */
export function formatScore({ name, score }: ModelRecord): string {
  const { total, stoppedRuns, stoppedCoreSeconds, passedJobs } = score;
  const shares = [
    `total ${total.creditShare.toFixed(3)}`,
    ...listShares(score.kinds),
    `bound ${score.boundShare.toFixed(3)}`,
    `worst windows ${score.worstWindows.toFixed(2)}`,
  ];
  const counts = [
    `stopped ${stoppedRuns.toFixed(0)} (${
      stoppedCoreSeconds.toFixed(0)
    } core-s)`,
    `passed ${passedJobs.toFixed(0)}`,
  ];
  const waits = Object.entries(score.kinds).map(([kind, tally]) =>
    `${kind} ${tally.startP50Ms.toFixed(0)}/${tally.startP95Ms.toFixed(0)} ms`
  );
  const windows = score.windows.map(({ creditShare }) =>
    creditShare.toFixed(2)
  );
  return [
    `${name}: ${shares.join(", ")}`,
    `  ${counts.join(", ")}; first start p50/p95: ${waits.join(", ")}`,
    `  sizes: ${listShares(score.sizes).join("; ")}`,
    `  data centres: ${listShares(score.dataCentres).join(", ")}`,
    `  each 2 s ${windows.join(" ")}`,
  ].join("\n");
}

function listShares(tallies: Record<string, ModelTally>): string[] {
  return Object.entries(tallies).map(([name, { servedShare }]) =>
    `${name} ${servedShare.toFixed(3)}`
  );
}
