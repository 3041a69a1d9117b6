import { runScenario } from "../run_scenario.ts";
import { scenarios } from "../scenarios.ts";
import type { Scenario } from "../scenario.ts";
import { createSlope } from "./create_slope.ts";
import type { Slope } from "./slope.ts";

/** Duration of each run, in ms. */
const DURATION_MS = 8_000;

/** Measures the CPU time and memory of an entry and the writes to the platform, by task starts per second. */
export async function measureEntrySlope(): Promise<Slope> {
  const base = scenarios.find((scenario) =>
    scenario.name === "throughput"
  ) as Scenario;
  const points: Slope["points"] = [];
  for (const load of [0.0125, 0.025, 0.05]) {
    const scenario = { ...base, load, durationMs: DURATION_MS };
    const record = await runScenario(scenario, { seed: 1, routing: "default" });
    points.push({
      size: Math.round(record.startsPerSecond),
      values: {
        entryCores: record.entryCores,
        entryRssMb: record.entryRssMb,
        appendsPerSecond: record.platformPerSecond.transactions,
        objectsPerSecond: record.platformPerSecond.objectWrites,
      },
    });
  }
  return createSlope("one entry", "starts a second", points);
}
