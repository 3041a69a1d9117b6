import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { EntryContext } from "./entry_context.ts";

/** Creates the value of this process's lease row from its present state. */
export function createLeaseRow(context: EntryContext): LeaseRow {
  const { state, settings } = context;
  return {
    incarnation: context.incarnation,
    address: context.name,
    controlAddress: settings.controlAddress,
    dataCentre: settings.dataCentre,
    weight: settings.weight,
    state: context.phase === "draining" ? "leaving" : "live",
    leaseMs: state.version.configuration.policy.leaseMs,
    ackedAtMs: state.lease.ackedAtMs,
    coveredUntilMs: state.lease.coveredUntilMs,
    clean: false,
  };
}
