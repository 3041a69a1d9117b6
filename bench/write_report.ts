import { formatTable } from "./format_table.ts";
import type { Plot } from "./plot.ts";
import type { RunRecord } from "./run_record.ts";
import { writePlotPage } from "./write_plot_page.ts";

/** Writes a self-contained HTML page with a table of all records and a plot for each scenario. */
export function writeReport(file: string, records: RunRecord[]): void {
  const names = [...new Set(records.map((record) => record.scenario))];
  writePlotPage(file, {
    title: "chivegrade bench",
    text: formatTable(records),
    plots: names.map((name) => createPlot(name, records)),
  });
}

const COLOURS = ["#1b6", "#26c", "#c33", "#a3a", "#c80", "#088", "#555"];

function createPlot(name: string, records: RunRecord[]): Plot {
  const matching = records.filter((record) => record.scenario === name);
  return {
    title: name,
    yLabel: "task response / ideal",
    isLogarithmic: true,
    xLabels: ["p50", "p90", "p99", "p99.9"],
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
