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

/** Plays both users' kinds of load at several strengths and prints what callers got. */
for (const factor of [1, 1.3, 1.5, 1.8]) {
  const load: ModelLoad = {
    lengthMs: 20_000,
    endpoints: ENDPOINTS,
    kinds: GUILD,
    bursts: [
      { fromMs: 4_000, toMs: 8_000, factor },
      { fromMs: 5_500, toMs: 9_700, factor: 1.6, kind: "impose" },
    ],
  };
  const scores = SEEDS.map((seed) => runLoad(load, seed));
  const mean = (read: (score: typeof scores[number]) => number) =>
    scores.reduce((sum, score) => sum + read(score), 0) / scores.length;
  const kinds = Object.keys(scores[0].kinds).map((name) => {
    const part = mean((score) =>
      score.kinds[name].earned / score.kinds[name].owed
    );
    return `${name} ${part.toFixed(3)}`;
  });
  const burst = mean((score) => {
    const inside = score.windows.slice(2, 5);
    return inside.reduce((sum, { earned }) => sum + earned, 0) /
      inside.reduce((sum, { owed }) => sum + owed, 0);
  });
  const whole = mean(({ earned, owed }) => earned / owed);
  console.log(
    `burst x${factor}: whole ${whole.toFixed(3)}, seconds 4 to 10 ${
      burst.toFixed(3)
    }; ${kinds.join(", ")}`,
  );
}
