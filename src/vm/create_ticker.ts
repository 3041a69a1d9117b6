import type { Ticker } from "./ticker.ts";

/** Interval between two ticks, in ms. */
const TICK_MS = 100;

/** Creates a ticker that runs until it is stopped. */
export function createTicker(): Ticker {
  const callbacks = new Set<{ ticks: number; run: () => void }>();
  let tickCount = 0;

  function runDue(): void {
    tickCount += 1;
    for (const { ticks, run } of callbacks) {
      if (tickCount % ticks === 0) run();
    }
  }

  const timer = setInterval(runDue, TICK_MS);
  return {
    every: (durationMs, run) => {
      const entry = { ticks: Math.ceil(durationMs / TICK_MS), run };
      callbacks.add(entry);
      return () => callbacks.delete(entry);
    },
    stop: () => clearInterval(timer),
  };
}
