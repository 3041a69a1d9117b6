import { createKinds } from "./create_kinds.ts";
import type { ModelLoad } from "./model_load.ts";

/** Time during which jobs arrive, in ms. */
const DURATION_MS = 20_000;

/** Creates the cases of one scheduler without racks: bursts of growing height, and an outage of all VMs. */
export function createBurstCases(): ModelLoad[] {
  return [
    ...[1, 1.3, 1.5, 1.8].map((factor) =>
      createBurstLoad(`burst x${factor}`, {
        bursts: [
          { fromMs: 4_000, toMs: 8_000, factor },
          { fromMs: 5_500, toMs: 9_700, factor: 1.6, kind: "medium" },
        ],
      })
    ),
    createBurstLoad("all VMs down for 1.2 s", {
      bursts: [{ fromMs: 0, toMs: DURATION_MS, factor: 1.25 }],
      outage: { fromMs: 5_400, toMs: 6_600, linkedMs: 7_000, resendMs: 1_300 },
    }),
  ];
}

function createBurstLoad(
  name: string,
  events: Pick<ModelLoad, "bursts" | "outage">,
): ModelLoad {
  return {
    name,
    durationMs: DURATION_MS,
    // Every third endpoint is larger and faster than the others.
    endpoints: Array.from({ length: 33 }, (_, index) => ({
      cpu: index % 3 === 2 ? 24_000 : 16_000,
      speed: index % 3 === 2 ? 1.7 : 0.7,
      dataCentre: "a",
      labels: [],
    })),
    groups: "one",
    kinds: createKinds({
      rate: 1,
      cpu: { mean: 6_800, sigma: 0.2, max: 10_000 },
    }),
    callers: [{ dataCentre: "a", share: 1 }],
    hotRacks: [],
    ...events,
  };
}
