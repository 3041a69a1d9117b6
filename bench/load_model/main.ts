import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { parseArgs } from "node:util";
import { computeScore } from "./compute_score.ts";
import { createBurstCases } from "./create_burst_cases.ts";
import { createGroupCases } from "./create_group_cases.ts";
import { formatScore } from "./format_score.ts";
import { runLoad } from "./run_load.ts";
import { writeLoadReport } from "./write_load_report.ts";

type Score = ReturnType<typeof computeScore>;

const USAGE = `npx tsx bench/load_model/main.ts [--case TEXT] [--seeds N]
  --case TEXT   run the cases whose name contains the text (default: all)
  --seeds N     run each case with the seeds 1 to N (default 3)
  --limits JSON override limits of the scheduler, such as {"remoteFactor":2}
  --json FILE   write the scores
  --report FILE write an HTML page with plots of shares and waits over time
  --before FILE scores written by an earlier run, shown on the page beside these`;

const { values } = parseArgs({
  options: {
    help: { type: "boolean", default: false },
    case: { type: "string", default: "" },
    seeds: { type: "string", default: "3" },
    limits: { type: "string", default: "{}" },
    json: { type: "string" },
    report: { type: "string" },
    before: { type: "string" },
  },
});

if (values.help) console.log(USAGE);
else runCases();

function runCases(): void {
  const seeds = Array.from({ length: Number(values.seeds) }, (_, at) => at + 1);
  const loads = [...createBurstCases(), ...createGroupCases()]
    .filter(({ name }) => name.includes(values.case));
  const limits = JSON.parse(values.limits);
  const scores: Score[] = [];
  for (const load of loads) {
    const runs = seeds.map((seed) => runLoad(load, seed, limits));
    const score = computeScore(load, runs);
    console.log(formatScore(score));
    scores.push(score);
  }
  if (values.json) writeScores(values.json, scores);
  if (values.report) {
    const before = values.before ? readScores(values.before) : [];
    mkdirSync(dirname(values.report), { recursive: true });
    writeLoadReport(values.report, { after: scores, before });
  }
}

function writeScores(file: string, scores: Score[]): void {
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, JSON.stringify(scores));
}

function readScores(file: string): Score[] {
  return JSON.parse(readFileSync(file, "utf8"));
}
