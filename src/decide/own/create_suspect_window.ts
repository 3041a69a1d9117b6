import type { SuspectWindow } from "../claim/suspect_window.ts";
import { computeCutOffMs } from "./compute_cut_off_ms.ts";
import type { LeaseRow } from "./lease_row.ts";

/**
 * Creates the window of id times that a lost holder may have started from
 * memory; none when it released cleanly or can't have been cut off yet.
 */
export function createSuspectWindow(
  lost: LeaseRow,
  options: {
    platformNowMs: number;
    skewMs: number;
    /** Whether the holder was certainly dead by platformNowMs, not only silent. */
    provedDead: boolean;
  },
): SuspectWindow | undefined {
  if (lost.clean) return undefined;
  const { platformNowMs, skewMs, provedDead } = options;
  const cutOffAtMs = lost.ackedAtMs + computeCutOffMs(lost.leaseMs);
  if (provedDead && platformNowMs < cutOffAtMs) return undefined;
  return {
    fromMs: lost.coveredUntilMs + skewMs,
    toMs: platformNowMs + 2 * skewMs,
  };
}
