import { mock } from "node:test";

/** Step by which virtual time advances. */
const STEP_MS = 5;
/** Wall-clock time at the start of virtual time, in Unix ms. */
const START_MS = 1_800_000_000_000;

const realSetImmediate = setImmediate;
const realPerformanceNow = performance.now.bind(performance);

/** Replaces the clocks and timers of the runtime by virtual time, which passes only by `advanceMs`; `stop` restores them. */
export function startVirtualTime(): {
  advanceMs(durationMs: number): Promise<void>;
  stop(): void;
} {
  mock.timers.enable({
    apis: ["setTimeout", "setInterval", "Date"],
    now: START_MS,
  });
  performance.now = () => Date.now() - START_MS;
  return {
    advanceMs: async (durationMs) => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        mock.timers.tick(STEP_MS);
        await new Promise<void>((resolve) => realSetImmediate(() => resolve()));
      }
    },
    stop: () => {
      mock.timers.reset();
      performance.now = realPerformanceNow;
    },
  };
}
