import { parseArgs } from "node:util";
import * as fc from "fast-check";
import {
  createCrashFaultArbitrary,
  createEarlierSchedulerFaultArbitrary,
  createEstimateFaultArbitrary,
  createEvacuationFaultArbitrary,
  createFaultArbitrary,
  createLinkFaultArbitrary,
  createLongOutageFaultArbitrary,
  createManyRunsFaultArbitrary,
  createOverlappingCutFaultArbitrary,
  createRejectionFaultArbitrary,
  createRepeatedLossFaultArbitrary,
  createResetFaultArbitrary,
  createStoreFaultArbitrary,
} from "./create_fault_arbitrary.ts";
import type { Fault } from "./fault.ts";
import { runSchedulerHistory } from "./run_scheduler_history.ts";

const { values } = parseArgs({
  options: {
    runs: { type: "string", default: "100" },
    seed: { type: "string", default: "1" },
    only: { type: "string" },
  },
});

/** Kinds of faults by the name that `--only` selects; `former`: links to earlier schedulers, `many`: many small tasks. */
const KINDS = {
  scheduler: createFaultArbitrary(),
  links: createLinkFaultArbitrary(),
  former: createEarlierSchedulerFaultArbitrary(),
  store: createStoreFaultArbitrary(),
  cuts: createOverlappingCutFaultArbitrary(),
  losses: createRepeatedLossFaultArbitrary(),
  outages: createLongOutageFaultArbitrary(),
  evacuations: createEvacuationFaultArbitrary(),
  rejections: createRejectionFaultArbitrary(),
  resets: createResetFaultArbitrary(),
  estimates: createEstimateFaultArbitrary(),
  many: createManyRunsFaultArbitrary(),
  crashes: createCrashFaultArbitrary(),
};
for (const [name, faults] of Object.entries(KINDS)) {
  if (values.only === undefined || values.only === name) {
    checkHistories(`faults of ${name}`, faults);
  }
}

function checkHistories(name: string, faults: fc.Arbitrary<Fault[]>): void {
  const totals: Record<string, number> = {};
  const property = fc.property(faults, fc.nat(1_000_000), (faults, seed) => {
    const { violations, ended } = runSchedulerHistory(faults, seed);
    for (const [how, count] of Object.entries(ended)) {
      totals[how] = (totals[how] ?? 0) + count;
    }
    if (violations.length > 0) throw new Error(violations.join("\n"));
  });
  const result = fc.check(property, {
    numRuns: Number(values.runs),
    seed: Number(values.seed),
  });
  console.log(`${name}, seed ${values.seed}: ${JSON.stringify(totals)}`);
  if (result.failed) {
    console.log(fc.defaultReportMessage(result));
    console.log(String(result.errorInstance));
    process.exitCode = 1;
  } else console.log(`${result.numRuns} histories, no violation`);
}
