import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { chooseOpenGroup } from "../../src/evacuation/choose_open_group.ts";
import { isGroupEvacuated } from "../../src/evacuation/is_group_evacuated.ts";
import { describeGroupCapacity } from "../../src/scheduler/describe_group_capacity.ts";
import { findStoreRefusal } from "../../src/stored_jobs/find_store_refusal.ts";
import { createStep } from "../fixtures/create_scheduler_driver.ts";
import { createEvacuatedDriver } from "../fixtures/create_evacuated_driver.ts";

function createCapacity(group: string, places: number, service = "layout") {
  return { group, service, taskCpu: 6_800, places };
}

/** Creates a scheduler all of whose data centres are evacuated, beside one that still works. */
function createClosed(places = 0) {
  const driver = createEvacuatedDriver({ hasOtherGroups: true });
  driver.state.lastGroupCapacities = [createCapacity("north", places)];
  driver.evacuate(["a", "b"]);
  return driver;
}

describe("callers of a group all of whose data centres are evacuated", () => {
  test("their jobs go to another group at once, also if it can't start them yet", () => {
    const driver = createClosed();
    driver.submit({ id: "j1", steps: [createStep(3)] });

    assert.deepEqual(driver.passed, [{ jobId: "j1", group: "north" }]);
    assert.equal(driver.starts.length, 0);
  });

  test("jobs that waited when the evacuation began go there too", () => {
    const driver = createEvacuatedDriver({ hasOtherGroups: true });
    driver.submit({ id: "j1", steps: [createStep(4)] });
    driver.submit({ id: "j2" });
    driver.state.lastGroupCapacities = [createCapacity("north", 0)];
    driver.evacuate(["a", "b"]);
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, [{ jobId: "j2", group: "north" }]);
  });

  test("they go on being passed while the store is down and tells of no group", () => {
    const driver = createClosed(10);
    driver.state.otherGroupCapacities = [];
    driver.submit({ id: "j1" });

    assert.equal(driver.passed.length, 1);
  });

  test("a job that was passed here is refused at once as not run, and not passed again", () => {
    const driver = createClosed(10);
    driver.submit({ id: "j1", wasPassed: true });

    assert.deepEqual(driver.passed, []);
    assert.deepEqual(driver.outcomes.get("j1"), {
      type: "refused",
      reason: "evacuated",
      retryAfterMs: 2_000,
    });
  });

  test("a job that has started is not passed, and fails at once as it can't be completed", () => {
    const driver = createEvacuatedDriver({ hasOtherGroups: true });
    driver.state.lastGroupCapacities = [createCapacity("north", 50)];
    driver.submit({ id: "j1", steps: [createStep(6)] });
    assert.equal(driver.starts.length, 4);
    driver.evacuate(["a", "b"]);
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, []);
    assert.deepEqual(driver.outcomes.get("j1"), {
      type: "failed",
      reason: "evacuated",
    });
  });

  test("a job that failed for it is open again when its caller sends it again", () => {
    const driver = createEvacuatedDriver({ hasOtherGroups: true });
    driver.submit({ id: "j1", steps: [createStep(6)] });
    driver.evacuate(["a", "b"]);
    driver.advanceTo(20);
    assert.equal(driver.outcomes.get("j1")?.type, "failed");
    driver.evacuate([]);
    driver.submit({ id: "j1", steps: [createStep(6)] });

    assert.equal(driver.state.jobs.get("j1")?.outcome, undefined);
  });

  test("the group reports no capacity, so that no other passes jobs to it", () => {
    const driver = createEvacuatedDriver();
    driver.submit({ id: "j1" });
    driver.end(driver.starts[0], "done", 1);
    assert.equal(describeGroupCapacity(driver.state).length, 1);
    driver.evacuate(["a", "b"]);

    assert.deepEqual(describeGroupCapacity(driver.state), []);
  });
});

describe("all data centres are evacuated", () => {
  test("each new job is refused at once as not run", () => {
    const driver = createEvacuatedDriver();
    driver.evacuate(["a", "b"]);
    driver.submit({ id: "j1" });

    assert.equal(driver.outcomes.get("j1")?.type, "refused");
    assert.equal(driver.starts.length, 0);
  });

  test("a waiting job is refused and one with tasks to start fails", () => {
    const driver = createEvacuatedDriver();
    driver.submit({ id: "j1", steps: [createStep(6)] });
    driver.submit({ id: "j2" });
    driver.evacuate(["a", "b"]);
    driver.advanceTo(20);

    assert.equal(driver.outcomes.get("j1")?.type, "failed");
    assert.equal(driver.outcomes.get("j2")?.type, "refused");
  });

  test("a stored job waits", () => {
    const driver = createEvacuatedDriver();
    driver.evacuate(["a", "b"]);
    driver.submitStored({ id: "j1" });
    driver.advanceTo(5_000);
    assert.equal(driver.outcomes.size, 0);
    driver.evacuate(["a"]);

    assert.equal(driver.starts.length, 1);
  });

  test("a VM in solo mode refuses at once as well", () => {
    const driver = createEvacuatedDriver({ isSolo: true });
    driver.evacuate(["a", "b"]);
    driver.submit({ id: "j1" });

    assert.equal(driver.outcomes.get("j1")?.type, "refused");
  });
});

describe("a step that only endpoints of an evacuated data centre can run", () => {
  test("its job is refused at once", () => {
    const driver = createEvacuatedDriver();
    driver.addIdleEndpoint("a2", { dataCentre: "a", labels: ["gpu"] });
    driver.evacuate(["a"]);
    const step = createStep(1, { requiredLabel: "gpu" });
    driver.submit({ id: "j1", steps: [createStep(1), step] });

    assert.equal(driver.outcomes.get("j1")?.type, "refused");
  });

  test("a stored job is refused as busy before it is stored, and may be stored again later", () => {
    const order = {
      service: "layout",
      steps: [createStep(1, { requiredLabel: "gpu" })],
    };
    const { state, ...driver } = createEvacuatedDriver();
    driver.addIdleEndpoint("a2", { dataCentre: "a", labels: ["gpu"] });
    const rows = [...state.endpoints.values()].map(({ row }) => row);
    const find = (dataCentres: string[]) =>
      findStoreRefusal(order, {
        backlogMs: 0,
        rows,
        evacuations: { revision: 1, dataCentres },
      });

    assert.equal(find(["a"]), "busy");
    assert.equal(find(["b"]), undefined);
  });
});

describe("choice of a group for jobs that must leave theirs", () => {
  const job = { service: "layout" };

  test("groups are drawn in proportion to their free capacity, full ones seldom", () => {
    const capacities = [createCapacity("full", -3), createCapacity("free", 99)];
    const choose = (draw: number) =>
      chooseOpenGroup(job, { capacities, draw })?.group;

    assert.equal(choose(0), "full");
    assert.equal(choose(0.02), "free");
    assert.equal(choose(0.99), "free");
  });

  test("a group without open endpoints of the service is not chosen", () => {
    const capacities = [createCapacity("north", 9, "proofs")];

    assert.equal(chooseOpenGroup(job, { capacities, draw: 0 }), undefined);
  });

  test("a group is evacuated when all its data centres are", () => {
    const layout = { groups: { a: "a", b: "a", c: "c" } };
    const isEvacuated = (group: string, dataCentres: string[]) =>
      isGroupEvacuated(layout, group, { revision: 1, dataCentres });

    assert.equal(isEvacuated("a", ["a"]), false);
    assert.equal(isEvacuated("a", ["a", "b"]), true);
    assert.equal(isEvacuated("c", ["a", "b"]), false);
    assert.equal(isGroupEvacuated(layout, "c", undefined), false);
  });
});
