import { LEASE_MARGIN_MS } from "./lease_margin_ms.ts";
import type { LeaseRow } from "./lease_row.ts";

/**
 * Returns whether the lease of a process has ended or expired. The process
 * certainly starts no more tasks then, as a margin is added to the lease on the
 * platform's clock.
 */
export function isLeaseExpired(
  lease: { value: LeaseRow; updatedAtMs: number },
  platformNowMs: number,
): boolean {
  if (lease.value.state === "ended") return true;
  const endMs = lease.updatedAtMs + lease.value.leaseMs + LEASE_MARGIN_MS;
  return platformNowMs >= endMs;
}
