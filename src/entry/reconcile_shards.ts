import { decideOwnership } from "../decide/own/decide_ownership.ts";
import { isLeaseValid } from "../decide/own/is_lease_valid.ts";
import type { OwnershipAction } from "../decide/own/ownership_action.ts";
import { readError } from "../errors/read_error.ts";
import { readClock } from "../utils/read_clock.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { acquireShard } from "./acquire_shard.ts";
import type { EntryContext } from "./entry_context.ts";
import { handOverShard } from "./hand_over_shard.ts";
import { loadHeldShards } from "./load_held_shards.ts";
import { probeOverdueHolders } from "./probe_overdue_holders.ts";

/** Interval between two checks of shard ownership, in ms. */
const RECONCILE_INTERVAL_MS = 100;

/** Acquires, loads and hands over shards according to the ownership view, until the entry stops. */
export async function reconcileShards(context: EntryContext): Promise<void> {
  while (context.phase !== "stopped") {
    try {
      await reconcileOnce(context);
    } catch (thrown) {
      const { message } = readError(thrown);
      context.logger.warn("shardsNotSettled", { message });
    }
    await waitMs(RECONCILE_INTERVAL_MS);
  }
}

async function reconcileOnce(context: EntryContext): Promise<void> {
  const clock = readClock();
  if (!isLeaseValid(context.state.lease, clock)) return;
  const { dataCentre } = context.settings;
  const { configuration } = context.state.version;
  await loadHeldShards(context);
  const platformNowMs = clock.monotonicMs + context.view.platformOffsetMs;
  await probeOverdueHolders(context, platformNowMs);
  const actions = decideOwnership(
    context.view,
    { name: context.name, dataCentre, leaving: context.isDrainAnnounced },
    {
      shards: configuration.dataCentres[dataCentre]?.shards ?? 0,
      platformNowMs,
    },
  );
  for (const action of actions) {
    await applyAction(context, action, platformNowMs);
  }
}

async function applyAction(
  context: EntryContext,
  action: OwnershipAction,
  platformNowMs: number,
): Promise<void> {
  if (action.type === "acquire") {
    await acquireShard(context, action, platformNowMs);
  } else {
    await handOverShard(context, action);
  }
}
