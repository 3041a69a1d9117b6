import { mock } from "node:test";

/** One step of the paused clock, in ms. */
const STEP_MS = 5;
/** Where the wall clock starts, in Unix ms. */
const START_MS = 1_800_000_000_000;

const flush = setImmediate;
const realNow = performance.now.bind(performance);

/** Pauses the runtime's clocks; time then passes only by advanceMs. */
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
        await new Promise<void>((resolve) => flush(() => resolve()));
      }
    },
    stop: () => {
      mock.timers.reset();
      performance.now = realNow;
    },
  };
}
