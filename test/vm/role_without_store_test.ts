import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import { STORED_JOB_KEYS } from "../../src/stored_jobs/stored_job_keys.ts";
import type { StoredJobRow } from "../../src/stored_jobs/stored_job_row.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";

/** Run time of a task, in ms; longer than any wait in these tests. */
const WORK_MS = 60_000;
/** Time for which a scheduler lists a lost VM, in ms. */
const LOST_VM_MS = 15_000;

/** Guards against a stored job that runs twice, or again after it was done: a scheduler that cannot reach the store assumes wrongly that no other VM has taken the role. */
describe("a scheduler whose linked VMs can't reach the store", () => {
  let world: ReturnType<typeof createHostWorld>;
  let host: SchedulerHost;

  beforeEach(async () => {
    world = createHostWorld({ workMs: WORK_MS });
    world.addEndpoint("e1", "a");
    const table = createMemoryTable();
    const order = createOrder({ id: "j", isKept: true });
    const value: StoredJobRow = { order, acceptedAtMs: Date.now() };
    const key = STORED_JOB_KEYS.formatJob("j");
    await table.transact([{ type: "insert", key, value }]);
    host = world.startHost("near", { token: 1_800, table });
  });
  afterEach(() => world.stop());

  async function advanceWithHeartbeats(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
      host.confirmRole(world.readNow());
      await world.advance(100);
    }
  }

  function countStarts(sinceMs = 0): number {
    return world.calls.filter(({ kind, atMs }) =>
      kind === "start" && atMs >= sinceMs
    ).length;
  }

  function linkNear(isStoreReachable: boolean) {
    return world.link(host, { name: "near-2", events: {}, isStoreReachable });
  }

  test("starts no stored job while a VM may run elsewhere, however long ago it was lost", async () => {
    const near = linkNear(true);
    const far = world.link(host, { name: "far", events: {} });
    await advanceWithHeartbeats(4_000);
    assert.equal(countStarts(), 1);

    // The scheduler's data centre is cut off from the store and from the VM far, which may take the role.
    near.handleLost("closed");
    linkNear(false);
    await world.advance(600);
    far.handleLost("silent");
    const cutMs = world.readNow();
    await world.advance(LOST_VM_MS + 3_000);

    assert.equal(countStarts(cutMs), 0);
  });

  test("continues stored jobs when a VM was lost long before", async () => {
    world.link(host, { name: "gone", events: {} }).handleLost("closed");
    const near = linkNear(true);
    await advanceWithHeartbeats(LOST_VM_MS + 1_000);
    near.handleLost("closed");
    linkNear(false);
    await world.advance(5_000);

    assert.equal(countStarts(), 1);
    assert.equal(world.oracle.hasEnded("j.0.0.0", "lapsed"), false);
  });
});
