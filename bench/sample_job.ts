import type { Scenario } from "./scenario.ts";

/** Samples the run times of one job's tasks, in ms. */
export function sampleJob(
  mix: Scenario["jobs"],
  random: () => number,
): number[] {
  if (mix === "single200") return [200];
  if (mix === "tiny") return Array.from({ length: 50 }, () => 20);
  return Array.from({ length: sampleSize(random) }, () => sampleRunMs(random));
}

/** Proofs of a few tasks mostly, some spreads. */
function sampleSize(random: () => number): number {
  const kind = random();
  if (kind < 0.7) return 1 + Math.floor(random() * 4);
  if (kind < 0.95) return 5 + Math.floor(random() * 16);
  return 20 + Math.floor(random() * 41);
}

/** Most take 50 ms to 1 s, a few several seconds. */
function sampleRunMs(random: () => number): number {
  const kind = random();
  if (kind < 0.7) return 50 + random() * 250;
  if (kind < 0.99) return 300 + random() * 700;
  return 2_000 + random() * 2_000;
}
