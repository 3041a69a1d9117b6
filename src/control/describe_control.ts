import type { ControlContext } from "./control_context.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Describes a control daemon's state and its view of the entries, for operators. */
export function describeControl(context: ControlContext) {
  const unresponsiveMs = Math.round(
    readMonotonicMs() - context.lastResponseAtMs,
  );
  return {
    role: "control",
    name: context.settings.peerAddress,
    dataCentre: context.settings.dataCentre,
    version: context.version,
    platformSilentMs: unresponsiveMs,
    entriesWatching: [...context.watchers.keys()],
    members: [...context.leases.values()].map((row) => ({
      name: row.key,
      dataCentre: row.value.dataCentre,
      state: row.value.state,
    })),
    shards: [...context.shards.values()].map((row) => ({
      shard: row.key,
      holder: row.value.holder,
      epoch: row.value.epoch,
    })),
    leavingAddresses: context.leavingAddresses,
  };
}
