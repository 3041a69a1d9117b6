import type { RefusalReason } from "./refusal_reason.ts";

/** Interval between two reports of one reason, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/** Creates a counter of refusals, to be called with each, which reports each reason at most once a second. */
export function createRefusalReporter(
  report: (reason: RefusalReason, count: number) => void,
): (reason: RefusalReason) => void {
  const counts = new Map<RefusalReason, number>();
  return (reason) => {
    const count = counts.get(reason) ?? 0;
    counts.set(reason, count + 1);
    if (count > 0) return;
    setTimeout(() => {
      report(reason, counts.get(reason) ?? 0);
      counts.delete(reason);
    }, REPORT_INTERVAL_MS).unref();
  };
}
