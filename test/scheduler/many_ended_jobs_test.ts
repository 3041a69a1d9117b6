import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";

/** Time between two steps of the scheduler, in ms. */
const STEP_MS = 20;
/** How long an ended job stays for callers that send their request again, in ms. */
const RETENTION_MS = 10_000;

/** Creates a scheduler with one job that has ended at 20 ms. */
function createDriverWithEndedJob() {
  const driver = createSchedulerDriver();
  driver.advanceTo(STEP_MS);
  driver.addIdleEndpoint("e1");
  driver.submit({ id: "j" });
  driver.reply(driver.starts[0], { type: "accepted" });
  driver.end(driver.starts[0], "done", 1);
  return driver;
}

describe("a load of many short jobs, which are all kept for some time after their end", () => {
  test("the ended jobs are not gone through in each step", () => {
    const driver = createDriverWithEndedJob();
    const { jobs } = driver.state;
    let rounds = 0;
    const readValues = jobs.values.bind(jobs);
    jobs.values = () => {
      rounds += 1;
      return readValues();
    };

    for (let atMs = 1_000; atMs < 2_000; atMs += STEP_MS) {
      driver.advanceTo(atMs);
    }

    assert.ok(rounds <= 3, `${rounds} rounds a second`);
  });

  test("an ended job stays for the retention period and is evicted soon after it", () => {
    const driver = createDriverWithEndedJob();
    let goneMs = 0;

    for (let atMs = 2 * STEP_MS; goneMs === 0 && atMs < 20_000;) {
      driver.advanceTo(atMs);
      if (!driver.state.jobs.has("j")) goneMs = atMs;
      atMs += STEP_MS;
    }

    assert.ok(goneMs > STEP_MS + RETENTION_MS, `gone at ${goneMs}`);
    assert.ok(goneMs <= RETENTION_MS + 1_000, `gone at ${goneMs}`);
  });

  test("an orphaned job is still ended as soon as its grace period is over", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(STEP_MS);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: STEP_MS });
    let endedMs = 0;

    for (let atMs = 2 * STEP_MS; endedMs === 0 && atMs < 5_000;) {
      driver.advanceTo(atMs);
      if (driver.outcomes.has("j")) endedMs = atMs;
      atMs += STEP_MS;
    }

    const event = driver.events.find(({ event }) => event === "jobOrphaned");
    const graceMs = Number(event?.fields.graceMs);
    assert.ok(endedMs - STEP_MS - graceMs < STEP_MS, `ended at ${endedMs}`);
    assert.equal(driver.state.orphans.size, 0);
  });

  test("a job whose caller returned in time is not ended", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(STEP_MS);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: STEP_MS });
    driver.advanceTo(200);
    driver.submit({ id: "j" });

    for (let atMs = 220; atMs < 5_000; atMs += STEP_MS) driver.advanceTo(atMs);

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.state.orphans.size, 0);
  });
});
