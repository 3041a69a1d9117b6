import type { ModelLoad } from "./model_load.ts";
import { runLoad } from "./run_load.ts";

/** Seeds that a figure is the mean of. */
const SEEDS = [1, 2, 3, 4, 5, 6];

const GUILD: ModelLoad["kinds"] = [
  {
    name: "proof",
    perSecond: 24.1,
    workMs: 60,
    width: 8,
    priority: 0,
    worth: 0.0291,
  },
  {
    name: "compose",
    perSecond: 4.38,
    workMs: 900,
    width: 4,
    priority: 2,
    worth: 0.16,
  },
  {
    name: "impose",
    perSecond: 70,
    workMs: 200,
    width: 2,
    priority: 1,
    worth: 0.01,
  },
];
const ENDPOINTS = Array.from({ length: 33 }, (_, index) => ({
  cpu: index % 3 === 2 ? 24_000 : 16_000,
  speed: index % 3 === 2 ? 1.7 : 0.7,
}));

const LENGTH_MS = 20_000;

/** What is played: a name, and what happens beside the usual load. */
const CASES: [string, Pick<ModelLoad, "bursts" | "outage">][] = [
  ...[1, 1.3, 1.5, 1.8].map((factor) =>
    [`burst x${factor}`, {
      bursts: [
        { fromMs: 4_000, toMs: 8_000, factor },
        { fromMs: 5_500, toMs: 9_700, factor: 1.6, kind: "impose" },
      ],
    }] as [string, Pick<ModelLoad, "bursts">]
  ),
  ["all VMs away for 1.2 s", {
    bursts: [{ fromMs: 0, toMs: LENGTH_MS, factor: 1.25 }],
    outage: { fromMs: 5_400, toMs: 6_600, linkedMs: 7_000, resendMs: 1_300 },
  }],
];

/** Plays both users' kinds of load and prints what callers got. */
for (const [name, happens] of CASES) {
  const load = {
    lengthMs: LENGTH_MS,
    endpoints: ENDPOINTS,
    kinds: GUILD,
    ...happens,
  };
  const scores = SEEDS.map((seed) => runLoad(load, seed));
  const mean = (read: (score: typeof scores[number]) => number) =>
    scores.reduce((sum, score) => sum + read(score), 0) / scores.length;
  const kinds = Object.keys(scores[0].kinds).map((kind) => {
    const part = mean((score) =>
      score.kinds[kind].earned / score.kinds[kind].owed
    );
    return `${kind} ${part.toFixed(3)}`;
  });
  const windows = scores[0].windows.map((_, index) =>
    mean(({ windows }) => windows[index].earned / windows[index].owed)
  );
  const whole = mean(({ earned, owed }) => earned / owed);
  console.log(
    `${name}: whole ${whole.toFixed(3)}; ${kinds.join(", ")}; each 2 s ${
      windows.map((part) => part.toFixed(2)).join(" ")
    }`,
  );
}
