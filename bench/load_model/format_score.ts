import type { computeScore } from "./compute_score.ts";
import type { computeTally } from "./compute_tally.ts";

const NAME_WIDTH = 24;
const COLUMN_WIDTH = 11;

/** Formats the score of a case as text: a line of totals, a table of its parts, and a line of shares by time of arrival. */
export function formatScore(score: ReturnType<typeof computeScore>): string {
  const { total, kinds, sizes, dataCentres } = score;
  const totals = [
    `credit ${total.creditShare.toFixed(3)}`,
    `bound ${score.boundShare.toFixed(3)}`,
    `worst windows ${score.worstWindows.toFixed(2)}`,
    `stopped ${score.stoppedRuns.toFixed(0)} runs`,
    `${score.stoppedCoreSeconds.toFixed(0)} core-s`,
    `passed ${score.passedJobs.toFixed(0)} jobs`,
  ];
  const windows = score.windows.map(({ creditShare }) =>
    creditShare.toFixed(2)
  );
  return [
    `${score.name}: ${totals.join(", ")}`,
    formatRow("", ["jobs", "served", "in time", "start p50", "p95 ms"]),
    ...Object.entries({ ...kinds, ...sizes, ...dataCentres }).map((
      [name, tally],
    ) => formatRow(name, formatTally(tally))),
    `  credit each 2 s ${windows.join(" ")}`,
  ].join("\n");
}

function formatTally(tally: ReturnType<typeof computeTally>): string[] {
  return [
    tally.jobs.toFixed(0),
    tally.servedShare.toFixed(3),
    tally.inTimeShare.toFixed(3),
    tally.startP50Ms.toFixed(0),
    tally.startP95Ms.toFixed(0),
  ];
}

function formatRow(name: string, cells: string[]): string {
  const columns = cells.map((cell) => cell.padStart(COLUMN_WIDTH));
  return `  ${name.padEnd(NAME_WIDTH)}${columns.join("")}`;
}
