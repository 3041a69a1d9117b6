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
import { probeSilentHolders } from "./probe_silent_holders.ts";

/** How often ownership is looked at, in ms. */
const LOOK_MS = 100;

/** Takes, loads and hands over shards as the view asks for, until the entry stops. */
export async function keepShards(context: EntryContext): Promise<void> {
  while (context.phase !== "stopped") {
    try {
      await lookAtShards(context);
    } catch (thrown) {
      const { message } = readError(thrown);
      context.logger.warn("shardsNotSettled", { message });
    }
    await waitMs(LOOK_MS);
  }
}

async function lookAtShards(context: EntryContext): Promise<void> {
  const clock = readClock();
  if (!isLeaseValid(context.state.lease, clock)) return;
  const { dataCentre } = context.settings;
  const { configuration } = context.state.version;
  await loadHeldShards(context);
  const platformNowMs = clock.monotonicMs + context.view.platformOffsetMs;
  await probeSilentHolders(context, platformNowMs);
  const actions = decideOwnership(
    context.view,
    { name: context.name, dataCentre, leaving: context.isNoticed },
    {
      shards: configuration.dataCentres[dataCentre]?.shards ?? 0,
      platformNowMs,
    },
  );
  for (const action of actions) await act(context, action, platformNowMs);
}

async function act(
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
