import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { saveStoredJobs } from "../../src/stored_jobs/save_stored_jobs.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import { waitFor } from "../fixtures/wait_for.ts";

const SCHEDULER_KEY = "chivegrade/scheduler";
const PROGRESS_KEY = "chivegrade-progress/j";
const END_RECORD_KEY = "chivegrade-ends/j";

let stop = () => {};
afterEach(() => stop());

/** Starts a scheduler with a job of two tasks, both started, and saves its changes. */
async function startSaving() {
  const table = createMemoryTable();
  await table.transact([{ type: "insert", key: SCHEDULER_KEY, value: {} }]);
  const driver = createSchedulerDriver();
  driver.addIdleEndpoint("e1");
  driver.submitStored({ id: "j", steps: [createStep(2)] });
  const seen = { superseded: 0 };
  const saver = saveStoredJobs({
    roleKey: "chivegrade/scheduler",
    table,
    state: driver.state,
    log: () => {},
    readRoleRevision: () => 1,
    onEndsStored: () => {},
    onSuperseded: () => {
      seen.superseded += 1;
    },
  });
  stop = saver.stop;
  const isSaved = () =>
    driver.state.unsaved.size === 0 && driver.readAcknowledged("e1") === 1;
  return { table, driver, seen, isSaved };
}

describe("saving stored jobs", () => {
  test("progress is stored, and replaced by the end record when the job ends", async () => {
    const { table, driver, isSaved } = await startSaving();
    driver.end(driver.starts[0], "done", 1);
    await waitFor(isSaved);
    assert.deepEqual(table.rows.get(PROGRESS_KEY)?.value, {
      done: "AQ==",
      failedRuns: [],
    });

    driver.end(driver.starts[1], "done", 2);
    await waitFor(() => driver.readAcknowledged("e1") === 2);
    assert.equal(table.rows.has(PROGRESS_KEY), false);
    const end = table.rows.get(END_RECORD_KEY)?.value as { state: string };
    assert.equal(end.state, "completed");
  });

  test("more end records than fit into one transaction are stored by several", async () => {
    const { table, driver } = await startSaving();
    for (let index = 0; index < 60; index += 1) {
      driver.submitStored({ id: `k${index}` });
      driver.cancel(`k${index}`);
    }

    await waitFor(() => driver.state.unsaved.size === 0, 3_000);
    const keys = [...table.rows.keys()];
    const ends = keys.filter((key) => key.startsWith("chivegrade-ends/"));
    assert.equal(ends.length, 60);
  });

  test("a write whose answer is lost is repeated with the revision that the store has", async () => {
    const { table, driver, isSaved } = await startSaving();
    table.faults.push("lost", "lost");
    driver.end(driver.starts[0], "done", 1);

    await waitFor(isSaved);
    assert.deepEqual(table.rows.get(PROGRESS_KEY)?.value, {
      done: "AQ==",
      failedRuns: [],
    });
  });

  test("an end record is taken as stored when the answer to its write was lost", async () => {
    const { table, driver } = await startSaving();
    driver.end(driver.starts[0], "done", 1);
    driver.end(driver.starts[1], "done", 2);
    table.faults.push("lost");

    await waitFor(() => driver.readAcknowledged("e1") === 2);
    assert.ok(table.rows.has(END_RECORD_KEY));
    assert.equal(driver.state.unsaved.size, 0);
  });

  test("nothing is stored once another process has taken over the scheduler role", async () => {
    const { table, driver, seen } = await startSaving();
    await table.transact([{ type: "write", key: SCHEDULER_KEY, value: {} }]);
    driver.end(driver.starts[0], "done", 1);

    await waitFor(() => seen.superseded > 0);
    assert.equal(table.rows.has(PROGRESS_KEY), false);
    assert.equal(driver.readAcknowledged("e1"), 0);
  });
});
