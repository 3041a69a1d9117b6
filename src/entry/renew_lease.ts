import { advanceChart } from "../charts/advance_chart.ts";
import { leaseChart } from "../charts/lease_chart.ts";
import { dropLostShard } from "../decide/entry/drop_lost_shard.ts";
import { confirmLease } from "../decide/own/confirm_lease.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import { readError } from "../errors/read_error.ts";
import { readClock } from "../utils/read_clock.ts";
import { createLeaseRow } from "./create_lease_row.ts";
import { updateState } from "./update_state.ts";
import type { EntryContext } from "./entry_context.ts";
import { writeLease } from "./write_lease.ts";

/**
 * Acquires or renews this process's lease. The state stays unchanged when the
 * outcome of the write is unknown.
 */
export async function renewLease(context: EntryContext): Promise<void> {
  if (isReleased(context)) return;
  const sentAt = readClock();
  const value = createLeaseRow(context);
  try {
    const written = await writeLease(context, value);
    if (isReleased(context)) return;
    if (written.type === "conflict") {
      handleLostLease(context);
      return;
    }
    applyRenewal(context, { ...written, sentAt, value });
  } catch (thrown) {
    context.logger.warn("leaseNotRenewed", {
      message: readError(thrown).message,
    });
  }
}

/** Whether a planned stop has ended the lease, which may happen while a renewal is in flight. */
function isReleased(context: EntryContext): boolean {
  return context.state.lease.phase === "released";
}

function applyRenewal(
  context: EntryContext,
  written: {
    sentAt: ReturnType<typeof readClock>;
    value: LeaseRow;
    revision: number;
    atMs: number;
  },
): void {
  const receivedAt = readClock();
  const { revision, atMs, value, sentAt } = written;
  updateState(context, (state) => {
    const unwritten = [...state.shards.values()]
      .reduce((sum, shard) => sum + shard.unwritten, 0);
    confirmLease(state.lease, {
      sentAt,
      receivedAt,
      revision,
      atMs,
      leaseMs: value.leaseMs,
      unwritten,
    });
  });
  context.view.leases.set(context.name, {
    key: context.name,
    value,
    revision,
    updatedAtMs: atMs,
  });
  context.view.platformOffsetMs = atMs - receivedAt.monotonicMs;
}

/** Drops all shards and starts a new incarnation, after another process has ended this lease. */
function handleLostLease(context: EntryContext): void {
  context.logger.error("leaseLost", {
    message: "Another process ended this lease; starting a new incarnation",
  });
  updateState(context, (state, clock) => {
    for (const shard of [...state.shards.values()]) {
      dropLostShard(state, shard, clock.monotonicMs);
    }
    state.lease.phase = advanceChart(leaseChart, state.lease.phase, "lose");
    state.lease.revision = 0;
    context.incarnation = crypto.randomUUID();
    state.lease.incarnation = context.incarnation;
  });
}
