import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { computeBacklogs } from "../../src/decide/compute_backlogs.ts";
import { isBacklogFull } from "../../src/decide/is_backlog_full.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

/** Eight endpoints with room for two tasks each, and stored jobs of four tasks of a second. */
function createLoad(jobs: number) {
  const driver = createSchedulerDriver();
  for (let index = 0; index < 8; index += 1) {
    driver.addIdleEndpoint(`e${index}`);
  }
  for (let index = 0; index < jobs; index += 1) {
    driver.submitStored({ id: `j${index}`, steps: [createStep(4)] });
  }
  return driver;
}

describe("stored jobs beyond the room", () => {
  test("what fits leaves no backlog", () => {
    assert.deepEqual(computeBacklogs(createLoad(4).state), { layout: 0 });
  });

  test("the backlog is the work that waits over all the room of the service", () => {
    const { state } = createLoad(24);
    const expectedMs = 20 * 4 * 6_800 * 1_000 / (8 * 16_000);

    assert.deepEqual(computeBacklogs(state), { layout: expectedMs });
    assert.equal(isBacklogFull(expectedMs), true);
  });

  test("a burst of less than the longest objective is taken", () => {
    const { layout } = computeBacklogs(createLoad(10).state);

    assert.ok(layout > 0);
    assert.equal(isBacklogFull(layout), false);
  });

  test("a service without an endpoint that answers has no backlog to tell of", () => {
    const driver = createSchedulerDriver();
    driver.addEndpoint("e1");
    driver.submitStored({ id: "j" });

    assert.deepEqual(computeBacklogs(driver.state), {});
  });
});
