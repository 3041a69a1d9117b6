import assert from "node:assert/strict";
import { afterEach, describe, mock, test } from "node:test";
import { cancelStoredJob } from "../../src/stored_jobs/cancel_stored_job.ts";
import { createJobWriter } from "../../src/stored_jobs/create_job_writer.ts";
import { readStoredJobState } from "../../src/stored_jobs/read_stored_job_state.ts";
import { startStoredJobSync } from "../../src/stored_jobs/start_stored_job_sync.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import {
  createOrder,
  createSchedulerDriver,
} from "../fixtures/create_scheduler_driver.ts";

const readMaxRowBytes = () => 65_536;
const ORDER = createOrder({ id: "a", isKept: true, waitMs: 0 });
const JOB_KEY = "chivegrade-jobs/a";
const END_KEY = "chivegrade-ends/a";

afterEach(() => mock.timers.reset());

// The cancelling of a job whose write was not done yet left nothing in the
// store, so the write took effect later and the cancelled job ran.
describe("a job that is cancelled before it is stored", () => {
  test("is not stored by a write that takes effect after the cancelling", async () => {
    const table = createMemoryTable();
    table.faults.push("late");
    const outcome = createJobWriter(table, readMaxRowBytes).store({
      ...ORDER,
      waitMs: -1,
    });
    assert.equal(await outcome, "unknown");

    assert.equal(await cancelStoredJob(table, "a"), false);
    table.applyLate();
    assert.equal(table.rows.has(JOB_KEY), false);
  });

  test("is not stored by a write that is repeated after the cancelling, and the caller learns that it has not run", async () => {
    const table = createMemoryTable();
    table.faults.push("late");
    const outcome = createJobWriter(table, readMaxRowBytes).store({
      ...ORDER,
      waitMs: 60_000,
    });
    await new Promise((resolve) => setImmediate(resolve));

    assert.equal(await cancelStoredJob(table, "a"), false);
    assert.equal(await outcome, "withdrawn");
    assert.equal(table.rows.has(JOB_KEY), false);
  });

  test("does not keep the other jobs of its write from being stored", async () => {
    const table = createMemoryTable();
    await cancelStoredJob(table, "a");
    const writer = createJobWriter(table, readMaxRowBytes);

    const outcomes = await Promise.all(
      ["z", "a", "b"].map((id) => writer.store(createOrder({ id }))),
    );
    assert.deepEqual(outcomes, ["stored", "withdrawn", "stored"]);
  });

  test("is unknown to callers, also when it is cancelled again", async () => {
    const table = createMemoryTable();

    assert.equal(await cancelStoredJob(table, "a"), false);
    assert.equal(await cancelStoredJob(table, "a"), false);
    assert.equal(await readStoredJobState(table, "a"), undefined);
    assert.equal(table.transactions.length, 1);
  });

  test("is cancelled if it is stored while the store carries the cancelling out", async () => {
    const table = createMemoryTable();
    table.faults.push("late");
    await createJobWriter(table, readMaxRowBytes).store({
      ...ORDER,
      waitMs: -1,
    });
    const { transact } = table;
    table.transact = (operations) => {
      table.transact = transact;
      table.applyLate();
      return transact(operations);
    };

    assert.equal(await cancelStoredJob(table, "a"), true);
    assert.ok(table.rows.has(`${JOB_KEY}.cancel`));
    assert.equal(table.rows.has(END_KEY), false);
  });

  test("is not withdrawn by a cancelling that takes effect after the job was stored", async () => {
    const table = createMemoryTable();
    table.faults.push("late");
    await assert.rejects(cancelStoredJob(table, "a"));
    const writer = createJobWriter(table, readMaxRowBytes);
    assert.equal(await writer.store(ORDER), "stored");

    table.applyLate();
    assert.equal(table.rows.has(END_KEY), false);
  });

  test("leaves no record for longer than the retention period, also where no job is stored", async () => {
    const table = createMemoryTable();
    mock.timers.enable({ apis: ["setInterval", "Date"] });
    await cancelStoredJob(table, "a");
    const { state } = createSchedulerDriver();
    const sync = startStoredJobSync({
      table,
      state,
      applyDecision: () => {},
      log: () => {},
      roleKey: "role",
      readRoleRevision: () => 0,
      onSuperseded: () => {},
      onEndsStored: () => {},
      readEndRetentionMs: () => 45_000,
    });

    mock.timers.tick(30_000);
    await new Promise((resolve) => setImmediate(resolve));
    assert.ok(table.rows.has(END_KEY));

    mock.timers.tick(30_000);
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(table.rows.has(END_KEY), false);
    sync.stop();
  });
});
