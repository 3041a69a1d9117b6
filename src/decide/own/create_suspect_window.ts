import type { SuspectWindow } from "../claim/suspect_window.ts";
import { computeCutOffMs } from "./compute_cut_off_ms.ts";
import type { LeaseRow } from "./lease_row.ts";

/**
 * Creates the suspect window of a lost holder: the creation times of submission
 * ids that it may have started without a durable claim. Returns undefined when
 * the holder released its lease cleanly, or was confirmed dead before it could
 * consider itself cut off from the platform.
 */
export function createSuspectWindow(
  lost: { value: LeaseRow; updatedAtMs: number },
  options: {
    platformNowMs: number;
    /** Largest difference between clocks that is allowed for. */
    skewMs: number;
    /** Whether the holder is confirmed dead by `platformNowMs`, rather than only unresponsive. */
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
