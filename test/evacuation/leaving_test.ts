import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { canLeaveStoredJobs } from "../../src/evacuation/can_leave_stored_jobs.ts";
import { createStep } from "../fixtures/create_scheduler_driver.ts";
import { createEvacuatedDriver } from "../fixtures/create_evacuated_driver.ts";

/** Creates a scheduler that runs a stored job of three tasks in two data centres. */
function createRunning() {
  const driver = createEvacuatedDriver({ hasKeptJobs: true });
  driver.submitStored({ id: "j1", steps: [createStep(3)] });
  driver.confirmSaved();
  assert.equal(driver.starts.length, 3);
  return driver;
}

function endAll({ starts, end }: ReturnType<typeof createRunning>): void {
  starts.forEach((start, index) => end(start, "done", index + 1));
}

describe("stored jobs of a group all of whose data centres are evacuated", () => {
  test("they stay while one of their tasks runs here", () => {
    const driver = createRunning();
    driver.evacuate(["a", "b"]);
    driver.advanceTo(100);
    driver.confirmSaved();

    assert.equal(canLeaveStoredJobs(driver.state, 100), false);
  });

  test("they stay until the ends of their runs are in the store", () => {
    const driver = createRunning();
    driver.evacuate(["a", "b"]);
    endAll(driver);
    driver.advanceTo(100);
    assert.equal(canLeaveStoredJobs(driver.state, 100), false);
    driver.confirmSaved();

    assert.equal(canLeaveStoredJobs(driver.state, 100), true);
  });

  test("they stay while their change is being written", () => {
    const driver = createRunning();
    driver.evacuate(["a", "b"]);
    endAll(driver);
    driver.state.unsaved.clear();

    assert.equal(canLeaveStoredJobs(driver.state, 100), false);
  });

  test("they stay while a data centre is open", () => {
    const driver = createRunning();
    driver.evacuate(["a"]);
    endAll(driver);
    driver.confirmSaved();

    assert.equal(canLeaveStoredJobs(driver.state, 100), false);
  });

  test("they stay while an endpoint may run what an earlier scheduler started", () => {
    const driver = createEvacuatedDriver({ hasKeptJobs: true });
    driver.evacuate(["a", "b"]);
    assert.equal(canLeaveStoredJobs(driver.state, 100), true);
    driver.list("a1", { running: [{ task: "j9.0.0.0", run: 4, progress: 0 }] });
    assert.equal(canLeaveStoredJobs(driver.state, 100), false);
    driver.list("a1");
    driver.addEndpoint("a2", { dataCentre: "a" });

    assert.equal(canLeaveStoredJobs(driver.state, 100), false);
  });

  test("a job that is stored while nothing may start here leaves unstarted", () => {
    const driver = createEvacuatedDriver({ hasKeptJobs: true });
    driver.evacuate(["a", "b"]);
    driver.submitStored({ id: "j1" });

    assert.equal(driver.starts.length, 0);
    assert.equal(canLeaveStoredJobs(driver.state, 100), true);
  });
});
