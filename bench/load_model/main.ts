import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { parseArgs } from "node:util";
import { computeMeanScore } from "./compute_mean_score.ts";
import { computeScore } from "./compute_score.ts";
import { createBurstCases } from "./create_burst_cases.ts";
import { createGroupCases } from "./create_group_cases.ts";
import { formatScore } from "./format_score.ts";
import type { ModelRecord } from "./model_record.ts";
import { runLoad } from "./run_load.ts";

const USAGE = `npx tsx bench/load_model/main.ts [--case TEXT] [--seeds N]
  --case TEXT   run the cases whose name contains the text (default: all)
  --seeds N     print means over the seeds 1 to N (default 3)
  --limits JSON override limits of the scheduler, such as {"remoteFactor":2}
  --json FILE   write the scores`;

const { values } = parseArgs({
  options: {
    help: { type: "boolean", default: false },
    case: { type: "string", default: "" },
    seeds: { type: "string", default: "3" },
    limits: { type: "string", default: "{}" },
    json: { type: "string" },
  },
});

if (values.help) console.log(USAGE);
else runCases();

function runCases(): void {
  const seeds = Array.from({ length: Number(values.seeds) }, (_, at) => at + 1);
  const cases = [...createBurstCases(), ...createGroupCases()]
    .filter(({ name }) => name.includes(values.case));
  const limits = JSON.parse(values.limits);
  const records: ModelRecord[] = [];
  for (const { name, load } of cases) {
    const scores = seeds.map((seed) =>
      computeScore(load, runLoad(load, seed, limits))
    );
    const record = { name, score: computeMeanScore(scores) };
    console.log(formatScore(record));
    records.push(record);
  }
  if (!values.json) return;
  mkdirSync(dirname(values.json), { recursive: true });
  writeFileSync(values.json, JSON.stringify(records));
}
