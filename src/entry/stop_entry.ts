import { advanceChart } from "../charts/advance_chart.ts";
import { processChart } from "../charts/process_chart.ts";
import { leaseChart } from "../charts/lease_chart.ts";
import { hasUnwrittenRecords } from "../decide/entry/has_unwritten_records.ts";
import { isLeaseExpired } from "../decide/own/is_lease_expired.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import { readError } from "../errors/read_error.ts";
import { formatLeaseKey } from "./format_lease_key.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { createLeaseRow } from "./create_lease_row.ts";
import type { EntryContext } from "./entry_context.ts";
import { renewLease } from "./renew_lease.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** How long the balancer and the other entries get to see that this one is leaving, in ms. */
const NOTICE_MS = 1_500;
const LOOK_MS = 20;
/** Longest wait for another process to take the shards, in ms. */
const HAND_OVER_MS = 5_000;
/** Attempts at ending the lease while a renewal crosses it. */
const END_ATTEMPTS = 3;

/** The servers and streams of a running entry. */
type Parts = {
  callerServer: { stop(): Promise<void> };
  peerServer: { stop(): Promise<void> };
  peers: { close(): void };
  unfollow: () => void;
};

/**
 * Stops an entry gracefully: hands over its shards, turns new jobs away as not
 * run, waits for all that is in flight, writes the outcomes and ends its lease.
 */
export async function stopEntry(
  context: EntryContext,
  parts: Parts,
): Promise<void> {
  if (context.phase === "draining" || context.phase === "stopped") return;
  context.phase = advanceChart(processChart, context.phase, "drain");
  context.logger.info("entryStopping");
  await renewLease(context);
  await waitMs(NOTICE_MS);
  context.isNoticed = true;
  await waitUntil(() => isHandedOver(context), HAND_OVER_MS);
  context.state.draining = true;
  const callersDone = parts.callerServer.stop();
  const isDone = () => isIdle(context);
  const finished = await waitUntil(isDone, context.settings.stopWithinMs);
  if (!finished) context.logger.error("stopTookTooLong");
  await callersDone;
  await endLease(context);
  context.phase = advanceChart(processChart, context.phase, "finish");
  parts.unfollow();
  await parts.peerServer.stop();
  parts.peers.close();
  await closeConnections(context);
  context.logger.info("entryStopped");
}

/** Without another process in the data centre there is nobody to take the shards. */
function isHandedOver(context: EntryContext): boolean {
  if (context.state.shards.size === 0) return true;
  const { dataCentre } = context.settings;
  const platformNowMs = readMonotonicMs() + context.view.platformOffsetMs;
  return ![...context.view.leases.values()].some((row) =>
    row.key !== context.name && row.value.dataCentre === dataCentre &&
    row.value.state === "live" && !isLeaseExpired(row, platformNowMs)
  );
}

async function waitUntil(
  isReached: () => boolean,
  withinMs: number,
): Promise<boolean> {
  const untilMs = readMonotonicMs() + withinMs;
  while (!isReached()) {
    if (readMonotonicMs() > untilMs) return false;
    await waitMs(LOOK_MS);
  }
  return true;
}

function isIdle(context: EntryContext): boolean {
  const { state } = context;
  const shards = [...state.shards.values(), ...state.releasedShards];
  const settled = shards.every((shard) =>
    shard.openJobs === 0 && !hasUnwrittenRecords(shard)
  );
  return settled && state.attempts.size === 0 && context.callers.size === 0;
}

async function endLease(context: EntryContext): Promise<void> {
  const { lease } = context.state;
  if (lease.phase !== "held" && lease.phase !== "lapsed") return;
  lease.phase = advanceChart(leaseChart, lease.phase, "release");
  const value: LeaseRow = {
    ...createLeaseRow(context),
    state: "ended",
    clean: true,
  };
  try {
    await replaceLease(context, value);
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("leaseNotEnded", { message });
  }
}

/** A renewal may still be on its way, so the row is read for its revision. */
async function replaceLease(
  context: EntryContext,
  value: LeaseRow,
): Promise<void> {
  const { table } = context.platform;
  const key = formatLeaseKey(context, context.name);
  for (let attempt = 0; attempt < END_ATTEMPTS; attempt += 1) {
    const scan = await table.scan(key, 0);
    const row = scan.rows.find((one) => one.key === key);
    const found = row?.value as LeaseRow | undefined;
    if (!row || found?.incarnation !== context.incarnation) return;
    const { revision } = row;
    const result = await table.transact([
      { type: "replace", key, value, revision },
    ]);
    if (result.type === "committed") return;
  }
}

async function closeConnections(context: EntryContext): Promise<void> {
  for (const { sender } of context.senders.values()) await sender.close();
  await context.platform.close();
  context.metrics.close();
}
