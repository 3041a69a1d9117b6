import { computeRenewalMs } from "./compute_renewal_ms.ts";
import { isLeaseExpired } from "./is_lease_expired.ts";
import type { OwnershipView } from "./ownership_view.ts";

/** Renewals that a holder may be late by before it is probed. */
const LATE_RENEWALS = 1.5;

/** A holder whose lease was not renewed in time and has not ended either. */
type SilentHolder = { name: string; address: string; incarnation: string };

/** Finds the holders of a data centre's shards that are late with their renewal. */
export function findSilentHolders(
  view: OwnershipView,
  self: { name: string; dataCentre: string },
  platformNowMs: number,
): SilentHolder[] {
  const holders = new Set(
    [...view.shards]
      .filter(([place]) => place.startsWith(`${self.dataCentre}/`))
      .map(([, row]) => row.value.holder),
  );
  return [...view.leases]
    .filter(([name, row]) => {
      if (name === self.name || !holders.has(name)) return false;
      if (isLeaseExpired(row, platformNowMs)) return false;
      const lateMs = LATE_RENEWALS * computeRenewalMs(row.value.leaseMs);
      return platformNowMs - row.updatedAtMs >= lateMs;
    })
    .map(([name, row]) => ({
      name,
      address: row.value.address,
      incarnation: row.value.incarnation,
    }));
}
