import { parseArgs } from "node:util";
import * as fc from "fast-check";
import { createStepArbitrary } from "./create_step_arbitrary.ts";
import { runHistory } from "./run_history.ts";

const { values } = parseArgs({
  options: {
    runs: { type: "string", default: "100" },
    seed: { type: "string", default: "1" },
    path: { type: "string" },
    "no-shrink": { type: "boolean", default: false },
  },
});
const totals = { histories: 0, starts: 0, complete: 0, failed: 0, refused: 0 };

const property = fc.asyncProperty(
  createStepArbitrary({ calm: false }),
  fc.nat(1_000_000),
  async (steps, seed) => {
    const { violations, counts } = await runHistory(steps, seed);
    totals.histories += 1;
    totals.starts += counts.starts;
    totals.complete += counts.complete;
    totals.failed += counts.failed;
    totals.refused += counts.refused;
    if (violations.length > 0) throw new Error(violations.join("\n"));
  },
);
const result = await fc.check(property, {
  numRuns: Number(values.runs),
  seed: Number(values.seed),
  path: values.path,
  endOnFailure: values["no-shrink"],
});
console.log(`seed ${values.seed}: ${JSON.stringify(totals)}`);
if (result.failed) {
  console.log(fc.defaultReportMessage(result));
  console.log(String(result.errorInstance));
  process.exitCode = 1;
} else console.log(`${result.numRuns} histories, no violation`);
process.exit();
