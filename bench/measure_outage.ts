import { v7 as createId } from "uuid";
import { startVirtualTime } from "../test/fuzz/virtual_time.ts";
import { World } from "../test/fuzz/world.ts";
import type { OutageRecord } from "./outage_record.ts";

/** Time before the outage in which the shards are claimed, in ms. */
const STARTUP_MS = 4_000;
/** Time after the outage in which the remaining answers arrive, in ms. */
const RECOVERY_MS = 12_000;
/** Time between the sending of two jobs during the outage, in ms. */
const SEND_INTERVAL_MS = 250;

/** Simulates an outage of the platform in virtual time and counts the answers to callers. Throws if the fuzz oracle finds a violation. */
export async function measureOutage(
  options: Pick<OutageRecord, "leaseMs" | "outageMs" | "ids">,
): Promise<OutageRecord> {
  const { leaseMs, outageMs, ids } = options;
  const time = startVirtualTime();
  const world = new World(1);
  const record: OutageRecord = {
    ...options,
    sent: 0,
    complete: 0,
    refusedNotRun: 0,
    failed: 0,
    slowestMs: 0,
  };
  world.start({ leaseMs });
  await time.advanceMs(STARTUP_MS);
  for (const name of world.dataCentres) world.cutFromPlatform.add(name);
  for (let atMs = 0; atMs < outageMs; atMs += SEND_INTERVAL_MS) {
    sendJob(world, record, ids);
    await time.advanceMs(SEND_INTERVAL_MS);
  }
  world.heal();
  await time.advanceMs(RECOVERY_MS);
  if (world.oracle.violations.length > 0) {
    throw new Error(world.oracle.violations.join("\n"));
  }
  world.stop();
  time.stop();
  return record;
}

function sendJob(
  world: World,
  record: OutageRecord,
  ids: OutageRecord["ids"],
): void {
  const startedAtMs = performance.now();
  record.sent += 1;
  const submissionId = ids === "young"
    ? createId({ msecs: Date.now() })
    : `order-${record.sent}`;
  const entry = world.entries[record.sent % world.entries.length];
  const body = JSON.stringify({ runMs: 100, value: record.sent });
  world.submit(entry, {
    client: record.sent % 2 === 0 ? "guild" : "rooms",
    submissionId,
    deadlineMs: 8_000,
    tasks: [{ service: "proof", body, unrepeatable: true }],
  }).then((answer) => {
    const tookMs = performance.now() - startedAtMs;
    record.slowestMs = Math.max(record.slowestMs, tookMs);
    if (answer?.status === "complete") record.complete += 1;
    if (answer?.status === "failed") record.failed += 1;
    if (answer?.status === "refused" && answer.notRun) {
      record.refusedNotRun += 1;
    }
  });
}
