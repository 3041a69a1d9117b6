import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, test } from "node:test";
import { runInNewContext } from "node:vm";
import type { Plot } from "../../bench/plot.ts";
import { computeScore } from "../../bench/load_model/compute_score.ts";
import { createBurstCases } from "../../bench/load_model/create_burst_cases.ts";
import { runLoad } from "../../bench/load_model/run_load.ts";
import { writeLoadReport } from "../../bench/load_model/write_load_report.ts";
import { writePlotPage } from "../../bench/write_plot_page.ts";

const folder = mkdtempSync(join(tmpdir(), "chivegrade-report-"));
const file = join(folder, "report.html");
after(() => rmSync(folder, { recursive: true }));

type Drawn = {
  options: {
    title: string;
    scales: { y: { distr: number } };
    axes: { values?: (plot: null, ticks: number[]) => string[] }[];
    series: { label?: string; dash?: number[] }[];
  };
  data: (number | null)[][];
};

/** Runs the page's own script with a stand-in for the plot library. */
function drawPage(): Drawn[] {
  const [, script] = /<script>\n([\s\S]*)<\/script>/.exec(
    readFileSync(file, "utf8").split("</script>").slice(1).join("</script>"),
  ) ?? [];
  const drawn: Drawn[] = [];
  runInNewContext(script, {
    uPlot: function (options: Drawn["options"], data: Drawn["data"]) {
      drawn.push({ options, data });
    },
    document: { getElementById: () => undefined },
  });
  return drawn;
}

describe("the report page", () => {
  test("a plot has its scale, its labels and a value of each line for each position", () => {
    const plot: Plot = {
      title: "response",
      yLabel: "ms",
      isLogarithmic: true,
      xLabels: ["p50", "p99"],
      series: [{ label: "now", stroke: "#000" }],
      data: [[0, 1], [3, null]],
    };

    writePlotPage(file, { title: "page", text: "text", plots: [plot] });
    const [{ options, data }] = drawPage();

    assert.equal(options.scales.y.distr, 3);
    assert.deepEqual([...options.axes[0].values?.(null, [0, 0.5, 1]) ?? []], [
      "p50",
      "",
      "p99",
    ]);
    assert.equal(JSON.stringify(data), JSON.stringify(plot.data));
  });

  test("shares and waits are plotted over time, with dashed lines for those before", () => {
    const [load] = createBurstCases();
    const short = { ...load, durationMs: 3_000 };
    const score = computeScore(short, [runLoad(short, 1)]);
    // Scores that were saved have null in place of NaN.
    const before = JSON.parse(JSON.stringify([score]));

    writeLoadReport(file, { after: [score], before });
    const [shares, waits] = drawPage();

    for (const { options, data } of [shares, waits]) {
      const dashed = options.series.filter(({ dash }) => dash);
      assert.equal(options.series.length, 1 + 2 * load.kinds.length);
      assert.equal(dashed.length, load.kinds.length);
      assert.equal(data.length, options.series.length);
      assert.ok(data.every((values) => values.length === 3));
    }
  });
});
