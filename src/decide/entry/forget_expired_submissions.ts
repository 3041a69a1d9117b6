import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Removes closed submissions and suspect windows that are older than the
 * configured retention period from memory.
 */
export function forgetExpiredSubmissions(
  state: EntryState,
  clock: ClockReading,
): void {
  const { retentionMs } = state.version.configuration.policy;
  const oldestMs = clock.wallMs - retentionMs;
  for (const shard of state.shards.values()) {
    for (const [key, known] of shard.known) {
      if (known.atMs < oldestMs && known.status !== "open") {
        shard.known.delete(key);
      }
    }
    shard.windows = shard.windows.filter((one) => one.toMs >= oldestMs);
  }
}
