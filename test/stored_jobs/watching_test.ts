import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { watchStoredJobs } from "../../src/stored_jobs/watch_stored_jobs.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import {
  createOrder,
  createSchedulerDriver,
} from "../fixtures/create_scheduler_driver.ts";
import { waitFor } from "../fixtures/wait_for.ts";

let stop = () => {};
afterEach(() => stop());

/** Watches a table in which an earlier scheduler left jobs. */
async function startWatching(
  jobs: number,
  options: { isLastCancelled?: boolean } = {},
) {
  const table = createMemoryTable();
  for (let index = 0; index < jobs; index += 1) {
    const order = createOrder({ id: `j${index}`, isKept: true });
    const value = { order, acceptedAtMs: Date.now() };
    const key = `chivegrade-jobs/j${index}`;
    await table.transact([{ type: "insert", key, value }]);
  }
  if (options.isLastCancelled) {
    const key = `chivegrade-jobs/j${jobs - 1}.cancel`;
    await table.transact([{ type: "write", key, value: {} }]);
  }
  const driver = createSchedulerDriver({ areStoredJobsRead: false });
  const watcher = watchStoredJobs({
    table,
    state: driver.state,
    applyDecision: (decide) => decide(0),
    log: () => {},
    onProgressFound: () => {},
  });
  stop = watcher.stop;
  return driver;
}

describe("watching stored jobs", () => {
  test("the event loop gets turns while a thousand jobs of an earlier scheduler are read", async () => {
    const driver = await startWatching(1_000);
    const sizes: number[] = [];
    while (!driver.state.areStoredJobsRead) {
      sizes.push(driver.state.jobs.size);
      await setImmediate();
    }

    assert.equal(driver.state.jobs.size, 1_000);
    const steps = sizes.map((size, index) => size - (sizes[index - 1] ?? 0));
    assert.ok(Math.max(...steps) <= 100, `${Math.max(...steps)} at once`);
  });

  test("the stored jobs count as read only when all of them are known, so that no run of theirs is taken for a foreign run", async () => {
    const driver = await startWatching(120);
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

  // A job whose cancel request was in the next batch could start between the two.
  test("a cancelled job is not known as open at any time while the jobs of an earlier scheduler are read", async () => {
    for (let jobs = 40; jobs <= 60; jobs += 1) {
      const driver = await startWatching(jobs, { isLastCancelled: true });
      const id = `j${jobs - 1}`;
      while (!driver.state.areStoredJobsRead) {
        const job = driver.state.jobs.get(id);
        assert.ok(!job || job.outcome, `open at ${jobs} jobs`);
        await setImmediate();
      }
      assert.ok(driver.state.jobs.get(id)?.outcome);
      stop();
    }
  });
});
