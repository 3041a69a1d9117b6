import type { Ticker } from "./ticker.ts";

/** Time between two ticks, in ms. */
const TICK_MS = 100;

/** Creates a ticker, which runs until it is stopped. */
export function createTicker(): Ticker {
  const entries = new Set<{ ticks: number; run: () => void }>();
  let count = 0;

  function runDue(): void {
    count += 1;
    for (const { ticks, run } of entries) {
      if (count % ticks === 0) run();
    }
  }

  const timer = setInterval(runDue, TICK_MS);
  return {
    every: (durationMs, run) => {
      const entry = { ticks: Math.ceil(durationMs / TICK_MS), run };
      entries.add(entry);
      return () => entries.delete(entry);
    },
    stop: () => clearInterval(timer),
  };
}
