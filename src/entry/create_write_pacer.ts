import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Appends that may follow one another at once after a quiet time. */
const BURST = 10;

/** Creates a wait that keeps this entry within its part of the platform's writes. */
export function createWritePacer(context: EntryContext): () => Promise<void> {
  let tokens = BURST;
  let readAtMs = readMonotonicMs();
  return async () => {
    const perMs = computeWritesPerMs(context);
    const nowMs = readMonotonicMs();
    tokens = Math.min(BURST, tokens + (nowMs - readAtMs) * perMs);
    readAtMs = nowMs;
    tokens -= 1;
    if (tokens < 0) await waitMs(-tokens / perMs);
  };
}

function computeWritesPerMs(context: EntryContext): number {
  const { writesPerSecond } = context.state.version.configuration.policy;
  const holders = new Set(
    [...context.view.shards.values()].map((row) => row.value.holder),
  );
  return writesPerSecond / Math.max(1, holders.size) / 1_000;
}
