import { findSilentHolders } from "../decide/own/find_silent_holders.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EntryContext } from "./entry_context.ts";

/** Refusals in a row that prove a process dead, and the pause between them, in ms. */
const REFUSALS = 2;
const PAUSE_MS = 100;

/**
 * Probes holders that are late with their renewal. A process listens on its
 * address for as long as it lives, frozen or not, so a refused connection
 * proves it dead; silence proves nothing.
 */
export async function probeSilentHolders(
  context: EntryContext,
  platformNowMs: number,
): Promise<void> {
  const { view, name, settings, state } = context;
  if (!state.version.configuration.policy.takeOverRefused) return;
  const self = { name, dataCentre: settings.dataCentre };
  for (const holder of findSilentHolders(view, self, platformNowMs)) {
    if (view.confirmedDead.has(holder.incarnation)) continue;
    if (!await isRefused(context, holder.address)) continue;
    view.confirmedDead.add(holder.incarnation);
    context.logger.warn("holderDead", { process: holder.name });
  }
}

async function isRefused(
  context: EntryContext,
  address: string,
): Promise<boolean> {
  for (let probe = 0; probe < REFUSALS; probe += 1) {
    if (probe > 0) await waitMs(PAUSE_MS);
    if (await context.probeAddress(address) !== "refused") return false;
  }
  return true;
}
