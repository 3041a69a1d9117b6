import type { Plot } from "../plot.ts";
import { writePlotPage } from "../write_plot_page.ts";
import type { computeScore } from "./compute_score.ts";
import { formatScore } from "./format_score.ts";

type Score = ReturnType<typeof computeScore>;

const COLOURS = ["#c33", "#26c", "#1b6"];
/** Lines of the scores before are dashed. */
const DASH = [4, 4];

/** Writes a self-contained HTML page with two plots for each case, of shares and waits by time of arrival; dashed lines show the scores before. */
export function writeLoadReport(
  file: string,
  scores: { after: Score[]; before: Score[] },
): void {
  const cases = scores.after.map((after) => ({
    after,
    before: scores.before.find(({ name }) => name === after.name),
  }));
  writePlotPage(file, {
    title: "load model",
    text: cases.map(({ after, before }) =>
      [before ? `before: ${formatScore(before)}` : "", formatScore(after)]
        .join("\n")
    ).join("\n"),
    plots: cases.flatMap(({ after, before }) => [
      createPlot(`${after.name}: served share`, "servedShare", {
        after,
        before,
      }),
      createPlot(
        `${after.name}: first start, 95th percentile, ms`,
        "startP95Ms",
        { after, before },
      ),
    ]),
  });
}

function createPlot(
  title: string,
  value: "servedShare" | "startP95Ms",
  scores: { after: Score; before?: Score },
): Plot {
  const lines = Object.entries(scores).flatMap(([when, score]) =>
    Object.entries(score?.seconds ?? {}).map(([kind, tallies], index) => ({
      label: `${kind} ${when}`,
      stroke: COLOURS[index % COLOURS.length],
      dash: when === "before" ? DASH : undefined,
      // NaN and null are both absent values; scores that were read from a file have null.
      values: tallies.map((tally) =>
        Number.isFinite(tally[value]) ? tally[value] : null
      ),
    }))
  );
  return {
    title,
    yLabel: value === "servedShare" ? "share" : "ms",
    isLogarithmic: value === "startP95Ms",
    series: lines.map(({ values: _, ...line }) => line),
    data: [
      lines[0].values.map((_, second) => second),
      ...lines.map(({ values }) => values),
    ],
  };
}
