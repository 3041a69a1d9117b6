import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { computeBacklogs } from "../../src/decide/compute_backlogs.ts";
import { isBacklogFull } from "../../src/decide/is_backlog_full.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

/**
 * Creates a scheduler with eight endpoints, each with capacity for two tasks, and
 * stored jobs of four tasks of one second.
 */
function createLoadedScheduler(jobs: number) {
  const driver = createSchedulerDriver();
  for (let index = 0; index < 8; index += 1) {
    driver.addIdleEndpoint(`e${index}`);
  }
  for (let index = 0; index < jobs; index += 1) {
    driver.submitStored({ id: `j${index}`, steps: [createStep(4)] });
  }
  return driver;
}

describe("backlog of stored jobs", () => {
  test("jobs that fit into the capacity cause no backlog", () => {
    assert.deepEqual(computeBacklogs(createLoadedScheduler(4).state), {
      layout: 0,
    });
  });

  test("the backlog is the waiting work divided by the total capacity of the service", () => {
    const { state } = createLoadedScheduler(24);
    const expectedMs = 20 * 4 * 6_800 * 1_000 / (8 * 16_000);

    assert.deepEqual(computeBacklogs(state), { layout: expectedMs });
    assert.equal(isBacklogFull(expectedMs), true);
  });

  test("a backlog shorter than the longest latency objective is accepted", () => {
    const { layout } = computeBacklogs(createLoadedScheduler(10).state);

    assert.ok(layout > 0);
    assert.equal(isBacklogFull(layout), false);
  });

  test("a service without a usable endpoint has no backlog", () => {
    const driver = createSchedulerDriver();
    driver.addEndpoint("e1");
    driver.submitStored({ id: "j" });

    assert.deepEqual(computeBacklogs(driver.state), {});
  });
});
