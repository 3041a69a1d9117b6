import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { RunEnd } from "../../src/scheduler/run_end.ts";
import { setEndpointTakenOver } from "../../src/scheduler/set_endpoint_taken_over.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import { SCHEDULER_LIMITS } from "../fixtures/scheduler_limits.ts";

const { maxListedEnds } = SCHEDULER_LIMITS;

/** Creates ends of runs that no scheduler needs to know, numbered from 1. */
function createEnds(count: number): RunEnd[] {
  return Array.from({ length: count }, (_, index) => ({
    number: index + 1,
    task: `other.0.0.${index}`,
    run: 8,
    how: "stopped",
  }));
}

/** Starts the only task of the stored job `j` at the endpoint `e1`. */
function startStoredJob() {
  const driver = createSchedulerDriver();
  driver.addIdleEndpoint("e1");
  driver.advanceTo(20);
  driver.submitStored({ id: "j" });
  const [start] = driver.starts;
  return { driver, start };
}

// An endpoint lists a limited number of run ends at a time. Runs whose end did
// not fit into the list were taken as lost, and their tasks ran again.
describe("listings that have as many run ends as an endpoint lists at a time", () => {
  test("a run that is missing from a full listing is not started again before its end is listed", () => {
    const { driver, start } = startStoredJob();
    driver.reply(start, { type: "accepted" });
    driver.advanceTo(100);

    driver.list("e1", { ended: createEnds(maxListedEnds) });
    driver.advanceTo(4_000);
    assert.equal(driver.starts.length, 1);

    driver.end(start, "done", maxListedEnds + 1);
    assert.equal(driver.starts.length, 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a run that is missing from a listing with room for its end is started again", () => {
    const { driver, start } = startStoredJob();
    driver.reply(start, { type: "accepted" });
    driver.advanceTo(100);

    driver.list("e1");
    assert.equal(driver.starts.length, 2);
  });

  test("a stopped run is not started again while a full listing may hide that it was done", () => {
    const { driver, start } = startStoredJob();
    driver.reply(start, { type: "unanswered" });
    driver.confirmStop(start);
    driver.advanceTo(200);

    driver.list("e1", { ended: createEnds(maxListedEnds) });
    driver.advanceTo(400);
    assert.equal(driver.starts.length, 1);

    driver.end(start, "done", maxListedEnds + 1);
    driver.advanceTo(600);
    assert.equal(driver.starts.length, 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a later scheduler holds a task that may have run while a full listing may hide the end of its run", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addEndpoint("e1");
    driver.submitStored({ id: "j" }, { mayHaveRun: true });

    for (let atMs = 100; atMs <= 5_000; atMs += 100) {
      driver.list("e1", { ended: createEnds(maxListedEnds) });
      driver.advanceTo(atMs);
    }
    assert.equal(driver.starts.length, 0);

    const end = { task: "j.0.0.0", run: 100_002, how: "done" } as const;
    driver.list("e1", { ended: [{ ...end, number: maxListedEnds + 1 }] });
    driver.advanceTo(5_100);
    assert.equal(driver.starts.length, 0);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a held task starts once a full listing is outdated because the endpoint's lease has expired", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e2");
    driver.addEndpoint("e1");
    driver.list("e1", { ended: createEnds(maxListedEnds) });
    driver.submitStored({ id: "j" }, { mayHaveRun: true });
    driver.setUnresponsive("e1");
    driver.advanceTo(1_600);
    driver.confirmSaved();
    assert.equal(driver.starts.length, 0);

    driver.advanceTo(2_600);
    driver.confirmSaved();
    driver.advanceTo(2_620);
    assert.equal(driver.starts.length, 1);
  });

  test("a run of a reclaimed endpoint is not started again while a full listing may hide its end", () => {
    const { driver, start } = startStoredJob();
    driver.reply(start, { type: "accepted" });
    setEndpointTakenOver(driver.state, "e1");
    driver.advanceTo(100);

    driver.list("e1", { ended: createEnds(maxListedEnds) });
    driver.advanceTo(200);
    assert.equal(driver.starts.length, 1);

    driver.end(start, "done", maxListedEnds + 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a listed foreign run counts as running until a listing with room for its end lacks it", () => {
    const driver = createSchedulerDriver({ token: 200 });
    const run = { task: "j.0.0.0", run: 100_002, progress: 0 };
    driver.addIdleEndpoint("e2");
    driver.addEndpoint("e1");
    driver.list("e1", { running: [run] });

    driver.list("e1", { ended: createEnds(maxListedEnds) });
    assert.equal(driver.state.endpoints.get("e1")?.foreignRuns.size, 1);

    driver.list("e1");
    assert.equal(driver.state.endpoints.get("e1")?.foreignRuns.size, 0);
  });

  test("an endpoint that left the store's list is kept while a full listing may hide ends", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.list("e1", { ended: createEnds(maxListedEnds) });
    driver.dropRow("e1");
    assert.ok(driver.state.endpoints.has("e1"));

    driver.list("e1");
    driver.addEndpoint("e2");
    assert.ok(!driver.state.endpoints.has("e1"));
  });

  test("no more tasks are started at an endpoint than it can list the ends of", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.list("e1", { ended: createEnds(maxListedEnds - 2) });
    driver.submit({ id: "j", steps: [createStep(2)] });
    assert.equal(driver.starts.length, 1);

    driver.list("e1", {
      running: [{ task: "j.0.0.0", run: driver.starts[0].run, progress: 0 }],
      ended: createEnds(2),
    });
    assert.equal(driver.starts.length, 2);
  });
});
