import type { SuspectWindow } from "../claim/suspect_window.ts";
import { computeCutOffMs } from "./compute_cut_off_ms.ts";
import type { LeaseRow } from "./lease_row.ts";

/**
 * Creates the window of id times that a lost holder may have started from
 * memory; none when it released cleanly or can't have been cut off yet.
 */
export function createSuspectWindow(
  lost: { value: LeaseRow; updatedAtMs: number },
  options: {
    platformNowMs: number;
    skewMs: number;
    /** Whether the holder was certainly dead by platformNowMs, not only silent. */
    isConfirmedDead: boolean;
  },
): SuspectWindow | undefined {
  const { clean, ackedAtMs, leaseMs, coveredUntilMs } = lost.value;
  if (clean) return undefined;
  const { platformNowMs, skewMs, isConfirmedDead } = options;
  const cutOffAtMs = ackedAtMs + computeCutOffMs(leaseMs);
  if (isConfirmedDead && platformNowMs < cutOffAtMs) return undefined;
  const endMs = Math.min(platformNowMs, lost.updatedAtMs + leaseMs);
  return { fromMs: coveredUntilMs + skewMs, toMs: endMs + skewMs };
}
