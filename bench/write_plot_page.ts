import { readFileSync, writeFileSync } from "node:fs";
import type { Plot } from "./plot.ts";

const PLOT_WIDTH = 640;
const PLOT_HEIGHT = 260;

/** Writes a self-contained HTML page with a text and plots, two in a row where the window is wide enough. */
export function writePlotPage(
  file: string,
  page: { title: string; text: string; plots: Plot[] },
): void {
  const script = readFileSync(
    "node_modules/uplot/dist/uPlot.iife.min.js",
    "utf8",
  );
  const style = readFileSync("node_modules/uplot/dist/uPlot.min.css", "utf8");
  const html = `<!doctype html>
<meta charset="utf-8"><title>${page.title}</title>
<style>${style}
body { font-family: sans-serif } pre { font-size: 12px }
#plots { display: flex; flex-wrap: wrap; gap: 16px; max-width: 1340px }
</style>
<h1>${page.title}</h1>
<pre>${page.text}</pre>
<div id="plots"></div>
<script>${script}</script>
<script>
for (const plot of ${JSON.stringify(page.plots)}) {
  const labels = plot.xLabels;
  new uPlot({
    title: plot.title,
    width: ${PLOT_WIDTH},
    height: ${PLOT_HEIGHT},
    scales: { x: { time: false }, y: { distr: plot.isLogarithmic ? 3 : 1 } },
    axes: [
      labels ? { values: (_, ticks) => ticks.map((at) => labels[at] ?? "") } : {},
      { label: plot.yLabel },
    ],
    series: [{}, ...plot.series],
  }, plot.data, document.getElementById("plots"));
}
</script>
`;
  writeFileSync(file, html);
}
