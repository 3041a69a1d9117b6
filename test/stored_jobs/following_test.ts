import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { followStoredJobs } from "../../src/stored_jobs/follow_stored_jobs.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import {
  createOrder,
  createSchedulerDriver,
} from "../fixtures/create_scheduler_driver.ts";
import { waitFor } from "../fixtures/wait_for.ts";

let stop = () => {};
afterEach(() => stop());

/** Follows a table in which an earlier scheduler left jobs. */
async function startFollowing(jobs: number) {
  const table = createMemoryTable();
  for (let index = 0; index < jobs; index += 1) {
    const order = createOrder({ id: `j${index}`, isKept: true });
    const value = { order, acceptedAtMs: Date.now() };
    const key = `chivegrade-jobs/j${index}`;
    await table.transact([{ type: "insert", key, value }]);
  }
  const driver = createSchedulerDriver({ areStoredJobsRead: false });
  const follower = followStoredJobs({
    table,
    state: driver.state,
    applyDecision: (decide) => decide(0),
    log: () => {},
    foundProgress: () => {},
  });
  stop = follower.stop;
  return driver;
}

describe("hearing of stored jobs", () => {
  test("while a thousand jobs of an earlier scheduler are read, other work of the process goes on", async () => {
    const driver = await startFollowing(1_000);
    const sizes: number[] = [];
    while (!driver.state.areStoredJobsRead) {
      sizes.push(driver.state.jobs.size);
      await setImmediate();
    }

    assert.equal(driver.state.jobs.size, 1_000);
    const steps = sizes.map((size, index) => size - (sizes[index - 1] ?? 0));
    assert.ok(Math.max(...steps) <= 100, `${Math.max(...steps)} at once`);
  });

  test("runs that endpoints list are nobody's only once all jobs are known", async () => {
    const driver = await startFollowing(120);
    while (driver.state.jobs.size < 50) {
      assert.equal(driver.state.areStoredJobsRead, false);
      await setImmediate();
    }
    while (driver.state.jobs.size < 120) {
      assert.equal(driver.state.areStoredJobsRead, false);
      await setImmediate();
    }
    await waitFor(() => driver.state.areStoredJobsRead);
  });
});
