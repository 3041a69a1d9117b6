import { LEASE_MARGIN_MS } from "./lease_margin_ms.ts";
import type { LeaseRow } from "./lease_row.ts";

/** Whether a process certainly starts nothing any more, by its row and the platform's clock. */
export function isLeaseExpired(
  lease: { value: LeaseRow; updatedAtMs: number },
  platformNowMs: number,
): boolean {
  if (lease.value.state === "ended") return true;
  const endMs = lease.updatedAtMs + lease.value.leaseMs + LEASE_MARGIN_MS;
  return platformNowMs >= endMs;
}
