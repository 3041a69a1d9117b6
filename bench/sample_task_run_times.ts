import type { Scenario } from "./scenario.ts";

/** Samples the run times of the tasks of one job at an endpoint of slowness 1, in ms. */
export function sampleTaskRunTimes(
  mix: Scenario["jobs"],
  random: () => number,
): number[] {
  if (mix === "single200") return [200];
  if (mix === "tiny") return Array.from({ length: 50 }, () => 20);
  return Array.from(
    { length: sampleTaskCount(random) },
    () => sampleRunMs(random),
  );
}

/** Samples the number of tasks of a job: 70 % have 1 to 4, 25 % have 5 to 20, 5 % have 20 to 60. */
function sampleTaskCount(random: () => number): number {
  const draw = random();
  if (draw < 0.7) return 1 + Math.floor(random() * 4);
  if (draw < 0.95) return 5 + Math.floor(random() * 16);
  return 20 + Math.floor(random() * 41);
}

/** Samples the run time of a task, in ms: 70 % take 50 to 300, 29 % take 300 to 1,000, 1 % take 2,000 to 4,000. */
function sampleRunMs(random: () => number): number {
  const draw = random();
  if (draw < 0.7) return 50 + random() * 250;
  if (draw < 0.99) return 300 + random() * 700;
  return 2_000 + random() * 2_000;
}
