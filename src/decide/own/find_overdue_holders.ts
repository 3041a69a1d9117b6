import { computeRenewalMs } from "./compute_renewal_ms.ts";
import { isLeaseExpired } from "./is_lease_expired.ts";
import type { OwnershipView } from "./ownership_view.ts";

/** Renewal intervals after the last renewal at which a holder is overdue. */
const OVERDUE_RENEWALS = 1.5;

/** A holder whose lease renewal is overdue but whose lease has not expired yet. */
type OverdueHolder = { name: string; address: string; incarnation: string };

/**
 * Finds other holders of shards of the data centre whose renewal is overdue;
 * they may have crashed.
 */
export function findOverdueHolders(
  view: OwnershipView,
  self: { name: string; dataCentre: string },
  platformNowMs: number,
): OverdueHolder[] {
  const holders = new Set(
    [...view.shards]
      .filter(([shardKey]) => shardKey.startsWith(`${self.dataCentre}/`))
      .map(([, row]) => row.value.holder),
  );
  return [...view.leases]
    .filter(([name, row]) => {
      if (name === self.name || !holders.has(name)) return false;
      if (isLeaseExpired(row, platformNowMs)) return false;
      const overdueMs = OVERDUE_RENEWALS * computeRenewalMs(row.value.leaseMs);
      return platformNowMs - row.updatedAtMs >= overdueMs;
    })
    .map(([name, row]) => ({
      name,
      address: row.value.address,
      incarnation: row.value.incarnation,
    }));
}
