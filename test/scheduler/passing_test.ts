import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { submitJob } from "../../src/scheduler/submit_job.ts";
import { describeGroupCapacity } from "../../src/scheduler/describe_group_capacity.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import {
  createOrder,
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const OTHER_GROUP_CAPACITY = {
  group: "north",
  service: "layout",
  taskCpu: 6_800,
  places: 50,
};

/** Creates a scheduler with one endpoint for two tasks, and another group with free capacity. */
function createWithOtherGroup() {
  const driver = createSchedulerDriver({ hasOtherGroups: true });
  driver.addIdleEndpoint("e1");
  driver.state.otherGroupCapacities = [{ ...OTHER_GROUP_CAPACITY }];
  return driver;
}

describe("more jobs than free capacity, while another group has free capacity", () => {
  test("a job that fits starts here", () => {
    const driver = createWithOtherGroup();
    driver.submit({ id: "j1", steps: [createStep(2)] });

    assert.equal(driver.starts.length, 2);
    assert.deepEqual(driver.passed, []);
  });

  test("a job that does not fit completely is passed to the other group and starts nothing here", () => {
    const driver = createWithOtherGroup();
    driver.submit({ id: "j1", steps: [createStep(3)] });

    assert.deepEqual(driver.passed, [{ jobId: "j1", group: "north" }]);
    assert.equal(driver.starts.length, 0);
    assert.equal(driver.state.jobs.size, 0);
    assert.equal(driver.outcomes.size, 0);
  });

  test("the other group's reported capacity is used only once", () => {
    const driver = createWithOtherGroup();
    driver.state.otherGroupCapacities = [{
      ...OTHER_GROUP_CAPACITY,
      places: 10,
    }];
    driver.submit({ id: "j1", steps: [createStep(4)] });
    driver.submit({ id: "j2", steps: [createStep(4)] });

    assert.deepEqual(driver.passed.map(({ jobId }) => jobId), ["j1"]);
    assert.ok(driver.state.jobs.has("j2"));
  });

  test("a waiting job is passed when another group gets free capacity", () => {
    const driver = createWithOtherGroup();
    driver.state.otherGroupCapacities = [{
      ...OTHER_GROUP_CAPACITY,
      places: 0,
    }];
    driver.submit({ id: "j1", steps: [createStep(2)] });
    driver.submit({ id: "j2", steps: [createStep(2)] });
    assert.deepEqual(driver.passed, []);
    driver.state.otherGroupCapacities = [{ ...OTHER_GROUP_CAPACITY }];
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, [{ jobId: "j2", group: "north" }]);
  });

  test("a job that has started is not passed", () => {
    const driver = createWithOtherGroup();
    driver.state.otherGroupCapacities = [{
      ...OTHER_GROUP_CAPACITY,
      places: 0,
    }];
    driver.submit({ id: "j1", steps: [createStep(4)] });
    assert.equal(driver.starts.length, 2);
    driver.state.otherGroupCapacities = [{ ...OTHER_GROUP_CAPACITY }];
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, []);
  });

  test("a job that another scheduler may have started is not passed", () => {
    const driver = createWithOtherGroup();
    driver.submit({ id: "j1", steps: [createStep(3)] }, {
      isResubmitted: true,
      wasSolo: false,
      done: [],
      placed: [],
    });

    assert.deepEqual(driver.passed, []);
  });

  // Guards against a task that runs twice: the other group would start it at once, while its foreign run is still being stopped here.
  test("a new job with a foreign run that is being stopped here is not passed", () => {
    const driver = createWithOtherGroup();
    const earlier = { task: "j1.0.0.0", run: 7, progress: 0 };
    driver.list("e1", { running: [earlier] });
    driver.advanceTo(420);
    assert.equal(driver.stops.length, 1);
    driver.submit({ id: "j1", steps: [createStep(3)] }, {
      isResubmitted: false,
      wasSolo: false,
      done: [],
      placed: [],
    });
    driver.advanceTo(440);

    assert.deepEqual(driver.passed, []);
  });

  test("a job that was passed here is not passed again", () => {
    const driver = createWithOtherGroup();
    driver.submit({ id: "j1", steps: [createStep(3)], wasPassed: true });
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, []);
    assert.ok(driver.state.jobs.has("j1"));
  });

  test("a stored job is not passed", () => {
    const driver = createWithOtherGroup();
    driver.submitStored({ id: "j1", steps: [createStep(3)] });
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, []);
  });

  test("a passed job that is submitted again goes to the same group even if there is capacity here now", () => {
    const driver = createWithOtherGroup();
    driver.submit({ id: "j1", steps: [createStep(3)] });
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j1", steps: [createStep(3)] });

    assert.equal(driver.starts.length, 0);
    assert.equal(driver.passed.length, 2);
  });

  test("waiting tasks are subtracted from the capacity that other groups are notified of", () => {
    const driver = createWithOtherGroup();
    driver.state.otherGroupCapacities = [];
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j1", steps: [createStep(1)] });
    assert.equal(describeGroupCapacity(driver.state)[0].places, 3);
    driver.submit({ id: "j2", steps: [createStep(5)] });

    assert.equal(describeGroupCapacity(driver.state)[0].places, 0);
  });
});

describe("a VM is lost", () => {
  for (const how of ["closed", "silent"] as const) {
    test(`its jobs end before its callers may return to another group (${how})`, () => {
      const driver = createSchedulerDriver({ hasOtherGroups: true });
      driver.addIdleEndpoint("e1");
      driver.submit({ id: "j1" });
      const [start] = driver.starts;
      driver.reply(start, { type: "accepted" });
      dropVm(driver.state, "vm-1", { how, nowMs: 0 });
      // A VM counts as unresponsive 600 ms after its last message.
      const resendMs = how === "closed" ? 1_300 : 1_300 - 600;
      driver.advanceTo(resendMs - 100);

      assert.equal(driver.stops.length, 1);
    });
  }

  test("its jobs go on for callers that return, where there is only one group", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j1" });
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 0 });
    driver.advanceTo(1_400);
    submitJob(driver.state, createOrder({ id: "j1" }), {
      vm: "vm-2",
      nowMs: 1_400,
    });
    driver.advanceTo(3_000);

    assert.equal(driver.stops.length, 0);
  });
});
