import type { ModelLoad } from "./model_load.ts";
import { runLoad } from "./run_load.ts";

/** Every printed figure is the mean over these seeds. */
const SEEDS = [1, 2, 3, 4, 5, 6];

const JOB_KINDS: ModelLoad["kinds"] = [
  {
    name: "proof",
    perSecond: 24.1,
    workMs: 60,
    taskCount: 8,
    priority: 0,
    credit: 0.0291,
  },
  {
    name: "compose",
    perSecond: 4.38,
    workMs: 900,
    taskCount: 4,
    priority: 2,
    credit: 0.16,
  },
  {
    name: "impose",
    perSecond: 70,
    workMs: 200,
    taskCount: 2,
    priority: 1,
    credit: 0.01,
  },
];
/** Every third endpoint is larger and faster than the others. */
const ENDPOINTS = Array.from({ length: 33 }, (_, index) => ({
  cpu: index % 3 === 2 ? 24_000 : 16_000,
  speed: index % 3 === 2 ? 1.7 : 0.7,
}));

/** Time during which jobs arrive, in ms. */
const DURATION_MS = 20_000;

/** Cases by name: the bursts, and the outage if there is one. */
const CASES: [string, Pick<ModelLoad, "bursts" | "outage">][] = [
  ...[1, 1.3, 1.5, 1.8].map((factor) =>
    [`burst x${factor}`, {
      bursts: [
        { fromMs: 4_000, toMs: 8_000, factor },
        { fromMs: 5_500, toMs: 9_700, factor: 1.6, kind: "impose" },
      ],
    }] as [string, Pick<ModelLoad, "bursts">]
  ),
  ["all VMs down for 1.2 s", {
    bursts: [{ fromMs: 0, toMs: DURATION_MS, factor: 1.25 }],
    outage: { fromMs: 5_400, toMs: 6_600, linkedMs: 7_000, resendMs: 1_300 },
  }],
];

/** Runs every case and prints the earned share of the possible credit: in total, by kind of job and by 2 s of arrival. */
for (const [name, events] of CASES) {
  const load = {
    durationMs: DURATION_MS,
    endpoints: ENDPOINTS,
    kinds: JOB_KINDS,
    ...events,
  };
  const scores = SEEDS.map((seed) => runLoad(load, seed));
  const computeMean = (read: (score: typeof scores[number]) => number) =>
    scores.reduce((sum, score) => sum + read(score), 0) / scores.length;
  const kinds = Object.keys(scores[0].kinds).map((kind) => {
    const share = computeMean((score) =>
      score.kinds[kind].earnedCredit / score.kinds[kind].possibleCredit
    );
    return `${kind} ${share.toFixed(3)}`;
  });
  const windows = scores[0].windows.map((_, index) =>
    computeMean(({ windows }) =>
      windows[index].earnedCredit / windows[index].possibleCredit
    )
  );
  const total = computeMean(({ earnedCredit, possibleCredit }) =>
    earnedCredit / possibleCredit
  );
  console.log(
    `${name}: total ${total.toFixed(3)}; ${kinds.join(", ")}; each 2 s ${
      windows.map((share) => share.toFixed(2)).join(" ")
    }`,
  );
}
