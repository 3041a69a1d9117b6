import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { saveStoredJobs } from "../../src/stored_jobs/save_stored_jobs.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import { waitFor } from "../fixtures/wait_for.ts";

const ROLE = "chivegrade/scheduler";
const PROGRESS = "chivegrade-progress/j";
const END = "chivegrade-ends/j";

let stop = () => {};
afterEach(() => stop());

/** A scheduler with a job of two tasks, both started, whose changes are saved. */
async function startSaving() {
  const table = createMemoryTable();
  await table.transact([{ type: "insert", key: ROLE, value: {} }]);
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

describe("storing what becomes of jobs", () => {
  test("progress is stored, then the end in its place", async () => {
    const { table, driver, isSaved } = await startSaving();
    driver.end(driver.starts[0], "done", 1);
    await waitFor(isSaved);
    assert.deepEqual(table.rows.get(PROGRESS)?.value, {
      done: "AQ==",
      failures: [],
    });

    driver.end(driver.starts[1], "done", 2);
    await waitFor(() => driver.readAcknowledged("e1") === 2);
    assert.equal(table.rows.has(PROGRESS), false);
    const end = table.rows.get(END)?.value as { state: string };
    assert.equal(end.state, "completed");
  });

  test("more ends than one write may have are stored by several", async () => {
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

  test("a write whose answer is lost is made again on what the store holds", async () => {
    const { table, driver, isSaved } = await startSaving();
    table.faults.push("lost", "lost");
    driver.end(driver.starts[0], "done", 1);

    await waitFor(isSaved);
    assert.deepEqual(table.rows.get(PROGRESS)?.value, {
      done: "AQ==",
      failures: [],
    });
  });

  test("an end whose answer is lost counts as stored", async () => {
    const { table, driver } = await startSaving();
    driver.end(driver.starts[0], "done", 1);
    driver.end(driver.starts[1], "done", 2);
    table.faults.push("lost");

    await waitFor(() => driver.readAcknowledged("e1") === 2);
    assert.ok(table.rows.has(END));
    assert.equal(driver.state.unsaved.size, 0);
  });

  test("nothing is stored once the role has gone on to another process", async () => {
    const { table, driver, seen } = await startSaving();
    await table.transact([{ type: "write", key: ROLE, value: {} }]);
    driver.end(driver.starts[0], "done", 1);

    await waitFor(() => seen.superseded > 0);
    assert.equal(table.rows.has(PROGRESS), false);
    assert.equal(driver.readAcknowledged("e1"), 0);
  });
});
