import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { StoredJobsView } from "./stored_jobs_view.ts";

/** Maximum age of the figures that callers receive, in ms; longer than a takeover. */
const MAX_AGE_MS = 2_000;

/** Creates a VM's view of the stored jobs, without any figures yet. */
export function createStoredJobsView(): StoredJobsView {
  let pending: Record<string, number> = {};
  let backlogsMs: Record<string, number> = {};
  let pendingReceivedMs = -Infinity;
  let receivedMs = -Infinity;

  return {
    update: (status) => {
      receivedMs = readMonotonicMs();
      backlogsMs = status.backlogsMs;
      if (!status.pending) return;
      pending = status.pending;
      pendingReceivedMs = receivedMs;
    },
    countPendingJobs: (route) =>
      readMonotonicMs() - pendingReceivedMs > MAX_AGE_MS
        ? undefined
        : pending[route] ?? 0,
    readAgeMs: () => Math.round(readMonotonicMs() - receivedMs),
    readBacklogMs: (service) =>
      readMonotonicMs() - receivedMs > MAX_AGE_MS
        ? 0
        : backlogsMs[service] ?? 0,
  };
}
