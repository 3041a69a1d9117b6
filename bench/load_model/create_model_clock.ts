import { BinaryHeap } from "../../src/utils/binary_heap.ts";

/** Creates a clock of simulated time, in ms, that starts at 0. */
export function createModelClock() {
  const events = new BinaryHeap<{ atMs: number; run: () => void }>();
  let nowMs = 0;

  function runAt(atMs: number, run: () => void): void {
    events.push({ atMs, run }, atMs);
  }

  return {
    readNow: () => nowMs,
    runAt,
    runAfter: (afterMs: number, run: () => void) => runAt(nowMs + afterMs, run),
    /** Runs callbacks in the order of their times until `endMs`. */
    runUntil: (endMs: number) => {
      for (let event = events.pop(); event; event = events.pop()) {
        if (event.atMs >= endMs) return;
        nowMs = event.atMs;
        event.run();
      }
    },
  };
}
