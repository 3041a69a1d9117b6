import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import { STORED_JOB_KEYS } from "../../src/stored_jobs/stored_job_keys.ts";
import type { StoredJobRow } from "../../src/stored_jobs/stored_job_row.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";

/** Longer than any of the waits that are looked at, in ms. */
const WORK_MS = 60_000;
/** A VM that was lost for longer counts as gone for good, in ms. */
const GONE_MS = 15_000;

/** Guards against a stored job that runs twice, or again after it was done: a scheduler without the store takes it that no other has the role. */
describe("a scheduler whose linked VMs all have lost the store", () => {
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

  async function beat(ms: number): Promise<void> {
    for (let gone = 0; gone < ms; gone += 100) {
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

  test("starts no stored job while a VM lives on elsewhere, however long ago that was lost", async () => {
    const near = linkNear(true);
    const far = world.link(host, { name: "far", events: {} });
    await beat(4_000);
    assert.equal(countStarts(), 1);

    // Its data centre is cut off; another VM of it takes the role.
    near.lose("closed");
    linkNear(false);
    await world.advance(600);
    far.lose("silent");
    const cutMs = world.readNow();
    await world.advance(GONE_MS + 3_000);

    assert.equal(countStarts(cutMs), 0);
  });

  test("goes on with stored jobs when a VM has been gone since long before", async () => {
    world.link(host, { name: "gone", events: {} }).lose("closed");
    const near = linkNear(true);
    await beat(GONE_MS + 1_000);
    near.lose("closed");
    linkNear(false);
    await world.advance(5_000);

    assert.equal(countStarts(), 1);
    assert.equal(world.oracle.hasEnded("j.0.0.0", "lapsed"), false);
  });
});
