import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { parseArgs } from "node:util";
import { buildBundles } from "../scripts/build_bundles.ts";
import { formatTable } from "./format_table.ts";
import type { RunRecord } from "./run_record.ts";
import { runScenario } from "./run_scenario.ts";
import { scenarios } from "./scenarios.ts";
import { measureOutages } from "./measure_outages.ts";
import { measureSlopes } from "./slopes/measure_slopes.ts";
import { writeReport } from "./write_report.ts";

const USE = `npm run bench -- --scenario NAME[,NAME...] [--seed N]
  --list              name the scenarios
  --outages           play outages of the platform on the paused clock
  --slopes            measure the slopes that docs/CAPACITY.md works with
  --compare A,B,...   run each scenario with each way in turns; 'naive' is the naive version
  --rounds N          turns of a comparison (default 1)
  --shards N, --entries N, --load X, --duration MS   override the scenario
  --json FILE         write the records
  --report FILE       write one self-contained HTML page`;

const { values } = parseArgs({
  options: {
    scenario: { type: "string", default: "" },
    seed: { type: "string", default: "1" },
    list: { type: "boolean", default: false },
    slopes: { type: "boolean", default: false },
    outages: { type: "boolean", default: false },
    compare: { type: "string", default: "default" },
    rounds: { type: "string", default: "1" },
    shards: { type: "string" },
    entries: { type: "string" },
    load: { type: "string" },
    duration: { type: "string" },
    json: { type: "string" },
    report: { type: "string" },
  },
});

if (values.list) {
  for (const { name, about } of scenarios) console.log(`${name}: ${about}`);
} else if (values.slopes) {
  await buildBundles();
  await measureSlopes();
} else if (values.outages) {
  await measureOutages();
} else if (values.scenario === "") {
  console.error(USE);
  process.exitCode = 2;
} else {
  const records = await runAll();
  console.log(formatTable(records));
  printRatios(records);
  save(records);
}
process.exit();

async function runAll(): Promise<RunRecord[]> {
  await buildBundles();
  const records: RunRecord[] = [];
  const names = values.scenario === "all"
    ? scenarios.map((one) => one.name)
    : values.scenario.split(",");
  for (const name of names) {
    const found = scenarios.find((one) => one.name === name);
    if (!found) throw new Error(`No scenario '${name}'; --list names them`);
    const scenario = {
      ...found,
      shards: Number(values.shards ?? found.shards),
      entries: Number(values.entries ?? found.entries),
      load: Number(values.load ?? found.load),
      durationMs: Number(values.duration ?? found.durationMs),
    };
    for (let round = 0; round < Number(values.rounds); round += 1) {
      for (const way of values.compare.split(",")) {
        const seed = Number(values.seed) + round;
        const record = await runScenario(scenario, { seed, way });
        console.error(
          `${name} ${way} seed ${seed}: ${JSON.stringify(record.kinds)}`,
        );
        records.push(record);
      }
    }
  }
  return records;
}

/** Each way against the last one named, scenario by scenario. */
function printRatios(records: RunRecord[]): void {
  const ways = values.compare.split(",");
  if (ways.length < 2) return;
  const last = ways[ways.length - 1];
  for (const name of new Set(records.map((one) => one.scenario))) {
    const base = computeMeanP99(records, name, last);
    const ratios = ways.map((way) =>
      `${way} ${(computeMeanP99(records, name, way) / base).toFixed(2)}`
    );
    console.log(`${name}: task p99 against ${last}: ${ratios.join(", ")}`);
  }
}

function computeMeanP99(
  records: RunRecord[],
  name: string,
  way: string,
): number {
  const own = records.filter((one) => one.scenario === name && one.way === way);
  return own.reduce((sum, one) => sum + one.taskRatio.p99, 0) / own.length;
}

function save(records: RunRecord[]): void {
  const file = values.json ?? `bench_output/${Date.now()}.json`;
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, JSON.stringify(records, null, 2));
  if (values.report) writeReport(values.report, records);
}
