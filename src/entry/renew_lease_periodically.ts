import { computeRenewalMs } from "../decide/own/compute_renewal_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import { renewLease } from "./renew_lease.ts";

/** Renews this process's lease at the renewal interval until the entry stops. */
export async function renewLeasePeriodically(
  context: EntryContext,
): Promise<void> {
  while (context.phase !== "stopped") {
    await renewLease(context);
    const { leaseMs } = context.state.version.configuration.policy;
    await waitMs(computeRenewalMs(leaseMs));
  }
}
