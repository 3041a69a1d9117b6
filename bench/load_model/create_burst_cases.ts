import type { ModelCase } from "./model_case.ts";
import type { ModelKind } from "./model_kind.ts";
import type { ModelLoad } from "./model_load.ts";

/** Time during which jobs arrive, in ms. */
const DURATION_MS = 20_000;
const CPU = { mean: 6_800, sigma: 0.2, max: 10_000 };
const KINDS: ModelKind[] = [
  {
    name: "proof",
    perSecond: 24.1,
    workMs: 60,
    taskCount: 8,
    cpu: CPU,
    priority: 0,
    credit: 0.0291,
  },
  {
    name: "compose",
    perSecond: 4.38,
    workMs: 900,
    taskCount: 4,
    cpu: CPU,
    priority: 2,
    credit: 0.16,
  },
  {
    name: "impose",
    perSecond: 70,
    workMs: 200,
    taskCount: 2,
    cpu: CPU,
    priority: 1,
    credit: 0.01,
  },
];

/** Creates the cases of one scheduler without racks: bursts of growing height, and an outage of all VMs. */
export function createBurstCases(): ModelCase[] {
  const bursts = [1, 1.3, 1.5, 1.8].map((factor) => ({
    name: `burst x${factor}`,
    load: createBurstLoad({
      bursts: [
        { fromMs: 4_000, toMs: 8_000, factor },
        { fromMs: 5_500, toMs: 9_700, factor: 1.6, kind: "impose" },
      ],
    }),
  }));
  const outage = createBurstLoad({
    bursts: [{ fromMs: 0, toMs: DURATION_MS, factor: 1.25 }],
    outage: { fromMs: 5_400, toMs: 6_600, linkedMs: 7_000, resendMs: 1_300 },
  });
  return [...bursts, { name: "all VMs down for 1.2 s", load: outage }];
}

function createBurstLoad(
  events: Pick<ModelLoad, "bursts" | "outage">,
): ModelLoad {
  return {
    durationMs: DURATION_MS,
    // Every third endpoint is larger and faster than the others.
    endpoints: Array.from({ length: 33 }, (_, index) => ({
      cpu: index % 3 === 2 ? 24_000 : 16_000,
      speed: index % 3 === 2 ? 1.7 : 0.7,
      dataCentre: "a",
      labels: [],
    })),
    groups: "one",
    kinds: KINDS,
    callers: [{ dataCentre: "a", share: 1 }],
    hotRacks: [],
    ...events,
  };
}
