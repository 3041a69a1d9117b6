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

/** Time for the load balancer and the other entries to see that this entry is draining, in ms. */
const DRAIN_NOTICE_MS = 1_500;
const POLL_INTERVAL_MS = 20;
/** Longest wait for the shards to be handed over to other processes, in ms. */
const HAND_OVER_TIMEOUT_MS = 5_000;
/**
 * Maximum number of attempts to end the lease; an attempt fails when a renewal
 * in flight changes the row first.
 */
const MAX_END_LEASE_ATTEMPTS = 3;

/** The servers and connections that a stop closes. */
type EntryResources = {
  callerServer: { stop(): Promise<void> };
  peerServer: { stop(): Promise<void> };
  peers: { close(): void };
  stopWatching: () => void;
};

/**
 * Stops an entry gracefully: hands over its shards, refuses new jobs as not
 * run, waits at most `stopWithinMs` for jobs in flight and for their outcomes
 * to be written, and ends the lease. Does nothing when the entry is already
 * stopping.
 */
export async function stopEntry(
  context: EntryContext,
  resources: EntryResources,
): Promise<void> {
  if (context.phase === "draining" || context.phase === "stopped") return;
  context.phase = advanceChart(processChart, context.phase, "drain");
  context.logger.info("entryStopping");
  await renewLease(context);
  await waitMs(DRAIN_NOTICE_MS);
  context.isDrainAnnounced = true;
  await waitUntil(() => isHandedOver(context), HAND_OVER_TIMEOUT_MS);
  context.state.draining = true;
  const callersDone = resources.callerServer.stop();
  const isDone = () => isIdle(context);
  const finished = await waitUntil(isDone, context.settings.stopWithinMs);
  if (!finished) context.logger.error("stopTookTooLong");
  await callersDone;
  await endLease(context);
  context.phase = advanceChart(processChart, context.phase, "finish");
  resources.stopWatching();
  await resources.peerServer.stop();
  resources.peers.close();
  await closeConnections(context);
  context.logger.info("entryStopped");
}

/** Whether all shards are handed over, or no other live process in the data centre could take them. */
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
    await waitMs(POLL_INTERVAL_MS);
  }
  return true;
}

function isIdle(context: EntryContext): boolean {
  const { state } = context;
  const shards = [...state.shards.values(), ...state.releasedShards];
  const isEveryShardIdle = shards.every((shard) =>
    shard.openJobs === 0 && !hasUnwrittenRecords(shard)
  );
  return isEveryShardIdle && state.attempts.size === 0 &&
    context.callers.size === 0;
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

/**
 * Writes the ended lease. Reads the row's revision first, because a renewal in
 * flight may still change it.
 */
async function replaceLease(
  context: EntryContext,
  value: LeaseRow,
): Promise<void> {
  const { table } = context.platform;
  const key = formatLeaseKey(context, context.name);
  for (let attempt = 0; attempt < MAX_END_LEASE_ATTEMPTS; attempt += 1) {
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
