import { isCutOff } from "../decide/own/is_cut_off.ts";
import { readClock } from "../utils/read_clock.ts";
import type { EntryContext } from "./entry_context.ts";

/** Describes an entry's state and its view of the other processes, for operators. */
export function describeEntry(context: EntryContext) {
  const { state, view } = context;
  const clock = readClock();
  const { lease, scheduler } = state;
  return {
    role: "entry",
    name: context.name,
    incarnation: context.incarnation,
    dataCentre: state.dataCentre,
    version: state.version.version,
    phase: context.phase,
    lease: {
      phase: lease.phase,
      leftMs: Math.round(lease.validUntilMonotonicMs - clock.monotonicMs),
      cutOff: isCutOff(lease, clock),
    },
    shards: [...state.shards.values(), ...state.releasedShards].map((
      shard,
    ) => ({
      index: shard.index,
      phase: shard.phase,
      epoch: shard.epoch,
      openJobs: shard.openJobs,
      remembered: shard.known.size,
      unwritten: shard.unwritten,
      suspectWindows: shard.windows.length,
    })),
    members: [...view.leases.values()].map((row) => ({
      name: row.key,
      dataCentre: row.value.dataCentre,
      state: row.value.state,
    })),
    holders: [...view.shards.values()].map((row) => ({
      shard: row.key,
      holder: row.value.holder,
      epoch: row.value.epoch,
    })),
    endpoints: [...scheduler.endpoints.values()].map((endpoint) => ({
      id: endpoint.id,
      phase: endpoint.phase,
      closed: endpoint.closed,
      inFlight: endpoint.inFlight,
      limit: endpoint.limit,
      slots: endpoint.slots,
      slowness: Number(endpoint.slowness.toFixed(3)),
      failuresInRow: endpoint.failuresInRow,
      restsForMs: endpoint.phase === "ejected"
        ? Math.round(endpoint.ejectedUntilMs - clock.monotonicMs)
        : 0,
    })),
    clients: [...scheduler.clients].map(([id, share]) => ({
      id,
      queued: share.queued,
      open: share.open,
    })),
    attempts: state.attempts.size,
    appends: {
      count: context.appends.count,
      meanMs: context.appends.totalMs / Math.max(1, context.appends.count),
    },
  };
}
