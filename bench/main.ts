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

const USAGE = `npm run bench -- --scenario NAME[,NAME...] [--seed N]
  --list              list the scenarios
  --outages           simulate outages of the platform in virtual time
  --slopes            measure the slopes used in docs/CAPACITY.md
  --compare A,B,...   run each scenario under each routing policy in turn; 'naive' runs the naive version
  --rounds N          number of runs of each scenario under each policy (default 1)
  --shards N, --entries N, --load X, --duration MS   override the scenario
  --json FILE         write the records
  --report FILE       write a self-contained HTML page`;

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
  for (const { name, description } of scenarios) {
    console.log(`${name}: ${description}`);
  }
} else if (values.slopes) {
  await buildBundles();
  await measureSlopes();
} else if (values.outages) {
  await measureOutages();
} else if (values.scenario === "") {
  console.error(USAGE);
  process.exitCode = 2;
} else {
  const records = await runScenarios();
  console.log(formatTable(records));
  printRatios(records);
  saveRecords(records);
}
process.exit();

async function runScenarios(): Promise<RunRecord[]> {
  await buildBundles();
  const records: RunRecord[] = [];
  const names = values.scenario === "all"
    ? scenarios.map((scenario) => scenario.name)
    : values.scenario.split(",");
  for (const name of names) {
    const found = scenarios.find((scenario) => scenario.name === name);
    if (!found) {
      throw new Error(`unknown scenario '${name}'; --list prints the names`);
    }
    const scenario = {
      ...found,
      shards: Number(values.shards ?? found.shards),
      entries: Number(values.entries ?? found.entries),
      load: Number(values.load ?? found.load),
      durationMs: Number(values.duration ?? found.durationMs),
    };
    for (let round = 0; round < Number(values.rounds); round += 1) {
      for (const routing of values.compare.split(",")) {
        const seed = Number(values.seed) + round;
        const record = await runScenario(scenario, { seed, routing });
        console.error(
          `${name} ${routing} seed ${seed}: ${JSON.stringify(record.kinds)}`,
        );
        records.push(record);
      }
    }
  }
  return records;
}

/** Prints, by scenario, the task p99 of each routing policy relative to that of the last policy given. */
function printRatios(records: RunRecord[]): void {
  const routings = values.compare.split(",");
  if (routings.length < 2) return;
  const baseline = routings[routings.length - 1];
  for (const name of new Set(records.map((record) => record.scenario))) {
    const baselineP99 = computeMeanP99(records, name, baseline);
    const ratios = routings.map((routing) =>
      `${routing} ${
        (computeMeanP99(records, name, routing) / baselineP99).toFixed(2)
      }`
    );
    console.log(
      `${name}: task p99 relative to ${baseline}: ${ratios.join(", ")}`,
    );
  }
}

function computeMeanP99(
  records: RunRecord[],
  name: string,
  routing: string,
): number {
  const matching = records.filter((record) =>
    record.scenario === name && record.way === routing
  );
  return matching.reduce((sum, record) => sum + record.taskRatio.p99, 0) /
    matching.length;
}

function saveRecords(records: RunRecord[]): void {
  const file = values.json ?? `bench_output/${Date.now()}.json`;
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, JSON.stringify(records, null, 2));
  if (values.report) writeReport(values.report, records);
}
