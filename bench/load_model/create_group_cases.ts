import type { ModelCase } from "./model_case.ts";
import type { ModelEndpoint } from "./model_endpoint.ts";
import type { ModelKind } from "./model_kind.ts";
import type { ModelLoad } from "./model_load.ts";

/** Time during which jobs arrive, in ms. */
const DURATION_MS = 20_000;
const DATA_CENTRES = ["north", "middle", "south"];
const ENDPOINTS_PER_DATA_CENTRE = 24;
const ENDPOINTS_PER_RACK = 6;
const LARGE_CPU = { mean: 16_000, sigma: 0.2, max: 24_000 };
const SMALL_CPU = { mean: 8_000, sigma: 0.2, max: 12_000 };
const TAIL = { share: 0.03, factor: 7 };

/** Endpoints of two sizes, the larger ones faster; a task takes about half of a small one. */
const UNEVEN = {
  endpoints: createEndpoints({ cpu: 32_000, speeds: [0.7, 1.7] }),
  kinds: [
    createKind("short", { perSecond: 42, cpu: LARGE_CPU }),
    createKind("long", { perSecond: 7.7, cpu: LARGE_CPU }),
    createKind("medium", { perSecond: 123, cpu: LARGE_CPU }),
  ],
};
/** Endpoints of two sizes and one speed; a few tasks take seven times their time. */
const TAILED = {
  endpoints: createEndpoints({ cpu: 16_000, speeds: [1, 1] }),
  kinds: [
    createKind("short", { perSecond: 42, cpu: SMALL_CPU, tail: TAIL }),
    createKind("long", { perSecond: 7.7, cpu: SMALL_CPU, tail: TAIL }),
    createKind("medium", { perSecond: 123, cpu: SMALL_CPU, tail: TAIL }),
  ],
};

/** Creates the cases of three data centres with a group each, by the pattern of their load. */
export function createGroupCases(): ModelCase[] {
  const [north, middle, south] = DATA_CENTRES;
  return [
    createCase("quiet day", {}),
    createCase("burst of the largest jobs beside one of the smallest", {
      bursts: [
        { fromMs: 4_000, toMs: 10_000, factor: 2.2, kind: "long" },
        { fromMs: 7_000, toMs: 11_000, factor: 1.7, kind: "short" },
      ],
    }),
    createCase("overload of one kind", {
      bursts: [{ fromMs: 4_000, toMs: 9_000, factor: 4.5, kind: "medium" }],
    }),
    createCase("one data centre at twice the load of the others", {
      bursts: [{ fromMs: 4_000, toMs: 12_000, factor: 1.6 }],
      callers: [
        { dataCentre: north, share: 0.5 },
        { dataCentre: middle, share: 0.25 },
        { dataCentre: south, share: 0.25 },
      ],
    }),
    createCase("waves in turn, all high", {
      bursts: [{ fromMs: 0, toMs: DURATION_MS, factor: 1.3 }],
      callers: DATA_CENTRES.map((dataCentre, index) => ({
        dataCentre,
        share: 1 / DATA_CENTRES.length,
        wave: { swing: 0.55, periodMs: 11_000, phase: index / 3 },
      })),
    }),
    createCase("half of the fast endpoints end", {
      endpoints: UNEVEN.endpoints.map((endpoint, index) =>
        index % 6 === 2 ? { ...endpoint, toMs: 7_000 } : endpoint
      ),
    }),
    createCase("a third of the endpoints is new", {
      bursts: [{ fromMs: 5_000, toMs: 10_000, factor: 1.5 }],
      endpoints: UNEVEN.endpoints.map((endpoint, index) =>
        Math.floor(index / 3) % 3 === 0
          ? { ...endpoint, fromMs: 5_000 }
          : endpoint
      ),
    }),
    createCase("a rack that everybody wants", {
      kinds: UNEVEN.kinds.map((kind) => ({ ...kind, rackShare: 0.3 })),
      hotRacks: [{
        fromMs: 5_000,
        toMs: 11_000,
        kind: "short",
        rack: "rack-north-0",
        share: 0.6,
      }],
    }),
    createCase("long tails on a quiet day", TAILED),
    createCase("long tails in a burst", {
      ...TAILED,
      bursts: [{ fromMs: 4_000, toMs: 10_000, factor: 1.7 }],
    }),
  ];
}

function createCase(name: string, change: Partial<ModelLoad>): ModelCase {
  const load: ModelLoad = {
    durationMs: DURATION_MS,
    ...UNEVEN,
    groups: "byDataCentre",
    callers: DATA_CENTRES.map((dataCentre) => ({
      dataCentre,
      share: 1 / DATA_CENTRES.length,
    })),
    bursts: [],
    hotRacks: [],
    ...change,
  };
  return { name, load };
}

/** Creates the endpoints of all data centres; every third one is of the second kind and half as large again. */
function createEndpoints(
  options: { cpu: number; speeds: [number, number] },
): ModelEndpoint[] {
  return DATA_CENTRES.flatMap((dataCentre) =>
    Array.from({ length: ENDPOINTS_PER_DATA_CENTRE }, (_, index) => {
      const isLarge = index % 3 === 2;
      const rack = Math.floor(index / ENDPOINTS_PER_RACK);
      return {
        cpu: isLarge ? options.cpu * 1.5 : options.cpu,
        speed: options.speeds[isLarge ? 1 : 0],
        dataCentre,
        labels: [isLarge ? "kind-b" : "kind-a", `rack-${dataCentre}-${rack}`],
      };
    })
  );
}

/** Creates a kind of job: many short tasks, a few long ones, or a couple between. */
function createKind(
  name: "short" | "long" | "medium",
  options: Pick<ModelKind, "perSecond" | "cpu" | "tail">,
): ModelKind {
  const shapes = {
    short: { workMs: 60, taskCount: 8, priority: 0, credit: 0.00485 },
    long: { workMs: 900, taskCount: 4, priority: 2, credit: 0.0267 },
    medium: { workMs: 200, taskCount: 2, priority: 1, credit: 0.00167 },
  };
  return { name, ...shapes[name], ...options };
}
