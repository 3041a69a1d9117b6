import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { KeptView } from "./kept_view.ts";

/** Callers are told nothing older, in ms; longer than a takeover. */
const FRESH_MS = 2_000;

/** Creates the view of stored jobs of a VM that has heard of none. */
export function createKeptView(): KeptView {
  let pending: Record<string, number> = {};
  let backlogsMs: Record<string, number> = {};
  let countedMs = -Infinity;
  let heardMs = -Infinity;

  return {
    take: (status) => {
      heardMs = readMonotonicMs();
      backlogsMs = status.backlogsMs;
      if (!status.pending) return;
      pending = status.pending;
      countedMs = heardMs;
    },
    countPending: (route) =>
      readMonotonicMs() - countedMs > FRESH_MS
        ? undefined
        : pending[route] ?? 0,
    readAgeMs: () => Math.round(readMonotonicMs() - heardMs),
    readBacklogMs: (service) =>
      readMonotonicMs() - heardMs > FRESH_MS ? 0 : backlogsMs[service] ?? 0,
  };
}
