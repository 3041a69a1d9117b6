import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Maximum number of appends without a pause after an idle period. */
const MAX_BURST_WRITES = 10;

/**
 * Creates a token bucket for appends; the returned callback resolves when the
 * next append may be sent. The configured `writesPerSecond` is divided evenly
 * among the processes that hold shards.
 */
export function createWriteRateLimiter(
  context: EntryContext,
): () => Promise<void> {
  let tokens = MAX_BURST_WRITES;
  let readAtMs = readMonotonicMs();
  return async () => {
    const perMs = computeWritesPerMs(context);
    const nowMs = readMonotonicMs();
    tokens = Math.min(MAX_BURST_WRITES, tokens + (nowMs - readAtMs) * perMs);
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
