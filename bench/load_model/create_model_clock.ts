import { BinaryHeap } from "../../src/utils/binary_heap.ts";
import type { ModelClock } from "./model_clock.ts";

/** Creates a simulated clock that starts at 0. */
export function createModelClock(): ModelClock {
  const events = new BinaryHeap<{ atMs: number; run: () => void }>();
  let nowMs = 0;
  return {
    readNow: () => nowMs,
    runAt: (atMs, run) => events.push({ atMs, run }, atMs),
    runUntil: (endMs) => {
      for (let event = events.pop(); event; event = events.pop()) {
        if (event.atMs >= endMs) return;
        nowMs = event.atMs;
        event.run();
      }
    },
  };
}
