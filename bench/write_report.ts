import { readFileSync, writeFileSync } from "node:fs";
import { formatTable } from "./format_table.ts";
import type { RunRecord } from "./run_record.ts";

const PLOT_WIDTH = 640;
const PLOT_HEIGHT = 260;

/** Writes a self-contained HTML page with a table of all records and a plot for each scenario. */
export function writeReport(file: string, records: RunRecord[]): void {
  const script = readFileSync(
    "node_modules/uplot/dist/uPlot.iife.min.js",
    "utf8",
  );
  const style = readFileSync("node_modules/uplot/dist/uPlot.min.css", "utf8");
  const names = [...new Set(records.map((record) => record.scenario))];
  const plots = names.map((name) => createPlot(name, records));
  const page = `<!doctype html>
<meta charset="utf-8"><title>chivegrade bench</title>
<style>${style} body { font-family: sans-serif } pre { font-size: 12px }</style>
<h1>chivegrade bench</h1>
<pre>${formatTable(records)}</pre>
<div id="plots"></div>
<script>${script}</script>
<script>
for (const plot of ${JSON.stringify(plots)}) {
  const title = plot.title;
  new uPlot({
    title,
    width: ${PLOT_WIDTH},
    height: ${PLOT_HEIGHT},
    scales: { x: { time: false }, y: { distr: 3 } },
    axes: [
      { values: (_, ticks) => ticks.map((tick) => plot.quantiles[tick] ?? "") },
      { label: "task response / ideal" },
    ],
    series: [{}, ...plot.series],
  }, plot.data, document.getElementById("plots"));
}
</script>
`;
  writeFileSync(file, page);
}

const COLOURS = ["#1b6", "#26c", "#c33", "#a3a", "#c80", "#088", "#555"];

function createPlot(name: string, records: RunRecord[]) {
  const matching = records.filter((record) => record.scenario === name);
  return {
    title: name,
    quantiles: ["p50", "p90", "p99", "p99.9"],
    series: matching.map((record, index) => ({
      label: `${record.way} (seed ${record.seed})`,
      stroke: COLOURS[index % COLOURS.length],
    })),
    data: [
      [0, 1, 2, 3],
      ...matching.map(({ taskRatio }) => [
        taskRatio.p50,
        taskRatio.p90,
        taskRatio.p99,
        taskRatio.p999,
      ]),
    ],
  };
}
