import { findOverdueHolders } from "../decide/own/find_overdue_holders.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";

/** Number of consecutive refused connections after which a process counts as confirmed dead. */
const REQUIRED_REFUSALS = 2;
/** Pause between two probes of an address, in ms. */
const PROBE_INTERVAL_MS = 100;

/**
 * Probes the addresses of shard holders whose lease renewal is overdue. A
 * process listens on its address as long as it exists, even while it is
 * suspended, so refused connections confirm that it is dead. A time-out does
 * not, since the process may only be unreachable.
 */
export async function probeOverdueHolders(
  context: EntryContext,
  platformNowMs: number,
): Promise<void> {
  const { view, name, settings, state } = context;
  if (!state.version.configuration.policy.takeOverRefused) return;
  const self = { name, dataCentre: settings.dataCentre };
  for (const holder of findOverdueHolders(view, self, platformNowMs)) {
    if (view.confirmedDead.has(holder.incarnation)) continue;
    if (!await isConnectionRefused(context, holder.address)) continue;
    view.confirmedDead.add(holder.incarnation);
    context.logger.warn("holderDead", { process: holder.name });
  }
}

async function isConnectionRefused(
  context: EntryContext,
  address: string,
): Promise<boolean> {
  for (let probe = 0; probe < REQUIRED_REFUSALS; probe += 1) {
    if (probe > 0) await waitMs(PROBE_INTERVAL_MS);
    if (await context.probeAddress(address) !== "refused") return false;
  }
  return true;
}
