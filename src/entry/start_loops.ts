import { advanceTime } from "../decide/entry/advance_time.ts";
import { forgetExpiredSubmissions } from "../decide/entry/forget_expired_submissions.ts";
import { updateState } from "./update_state.ts";
import type { EntryContext } from "./entry_context.ts";
import { renewLeasePeriodically } from "./renew_lease_periodically.ts";
import { reconcileShards } from "./reconcile_shards.ts";
import { writeShardLogs } from "./write_shard_logs.ts";

/** Interval at which time-outs and other effects of elapsed time are applied to the state, in ms. */
const TICK_INTERVAL_MS = 20;
/** Interval at which expired submissions are removed from memory, in ms. */
const FORGET_INTERVAL_MS = 10_000;

/** Starts the periodic work of an entry that has received its first configuration version. */
export function startLoops(context: EntryContext): void {
  renewLeasePeriodically(context);
  reconcileShards(context);
  writeShardLogs(context);
  repeat(context, TICK_INTERVAL_MS, () => updateState(context, advanceTime));
  repeat(
    context,
    FORGET_INTERVAL_MS,
    () => updateState(context, forgetExpiredSubmissions),
  );
}

function repeat(
  context: EntryContext,
  periodMs: number,
  action: () => void,
): void {
  const timer = setInterval(() => {
    if (context.phase === "stopped") clearInterval(timer);
    else action();
  }, periodMs);
}
