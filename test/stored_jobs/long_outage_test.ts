import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { saveStoredJobs } from "../../src/stored_jobs/save_stored_jobs.ts";
import { watchStoredJobs } from "../../src/stored_jobs/watch_stored_jobs.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import {
  createOrder,
  createSchedulerDriver,
} from "../fixtures/create_scheduler_driver.ts";
import { waitFor } from "../fixtures/wait_for.ts";

/** Well beyond the time for which ended jobs are kept, in ms. */
const LONG_MS = 60_000;

const stops: (() => void)[] = [];
afterEach(() => {
  for (const stop of stops.splice(0)) stop();
});

type Driver = ReturnType<typeof createSchedulerDriver>;

/** Ends the job `j` in each of the ways in which a stored job can end. */
const ENDS: Record<string, (driver: Driver) => void> = {
  completed: (driver) => driver.end(driver.starts[0], "done", 1),
  failed: (driver) => driver.end(driver.starts[0], "failed", 1),
  cancelled: (driver) => driver.cancel("j"),
};

function startJob(): Driver {
  const driver = createSchedulerDriver();
  driver.addIdleEndpoint("e1");
  driver.submitStored({ id: "j", maxAttempts: 1 });
  return driver;
}

describe("a stored job that ends while the store is down", () => {
  // Jobs that ended in an outage of more than 10 s ran a second time.
  for (const [how, end] of Object.entries(ENDS)) {
    test(`stays known while its end is being written, however long: ${how}`, async () => {
      const table = createMemoryTable();
      const { transact } = table;
      let fail = (_: Error) => {};
      table.transact = () =>
        new Promise((_, reject) => {
          fail = reject;
        });
      const driver = startJob();
      const saver = saveStoredJobs({
        roleKey: "role",
        table,
        state: driver.state,
        log: () => {},
        readRoleRevision: () => 0,
        onEndsStored: () => {},
        onSuperseded: () => {},
      });
      stops.push(saver.stop);
      end(driver);
      await waitFor(() => driver.state.unsaved.size === 0);
      driver.advanceTo(LONG_MS);
      assert.ok(driver.state.jobs.has("j"), "forgotten during the write");

      table.transact = transact;
      fail(new Error("no answer"));
      await waitFor(() => table.rows.has("chivegrade-ends/j"));
    });
  }

  test("is forgotten ten seconds after the store has its end, not after its end", () => {
    const driver = startJob();
    driver.end(driver.starts[0], "done", 1);
    driver.advanceTo(LONG_MS);
    driver.confirmSaved();
    driver.advanceTo(LONG_MS + 9_000);
    assert.ok(driver.state.jobs.has("j"));
    driver.advanceTo(LONG_MS + 11_000);
    assert.ok(!driver.state.jobs.has("j"));
  });

  // A reading that began before the end was stored returned the row of the job.
  test("is not run again by a reading that began before its end was stored", async () => {
    const table = createMemoryTable();
    const { scan } = table;
    let finish = () => {};
    table.scan = async (prefix, since) => {
      const found = await scan(prefix, since);
      await new Promise<void>((resolve) => {
        finish = resolve;
      });
      return found;
    };
    const order = createOrder({ id: "j", isKept: true });
    const value = { order, acceptedAtMs: Date.now() };
    const key = "chivegrade-jobs/j";
    await table.transact([{ type: "insert", key, value }]);
    const driver = startJob();
    let isApplied = false;
    const watcher = watchStoredJobs({
      table,
      state: driver.state,
      applyDecision: (decide) => {
        decide(LONG_MS);
        driver.collect();
        isApplied = true;
      },
      log: () => {},
      onProgressFound: () => {},
    });
    stops.push(watcher.stop);
    driver.end(driver.starts[0], "done", 1);
    driver.confirmSaved();
    // The jobs have been read, and their progress is read next.
    await new Promise(setImmediate);
    driver.advanceTo(LONG_MS);
    driver.advanceTo(2 * LONG_MS);
    finish();
    await new Promise(setImmediate);
    finish();
    await waitFor(() => isApplied);

    const accepted = driver.events.filter(({ event }) =>
      event === "jobAccepted"
    );
    assert.equal(accepted.length, 1);
  });
});
