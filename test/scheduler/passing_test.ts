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

const ROOM = { group: "north", service: "layout", taskCpu: 6_800, places: 50 };

/** A scheduler with one endpoint for two tasks, beside a group with room. */
function createBesideGroup() {
  const driver = createSchedulerDriver({ hasOtherGroups: true });
  driver.addIdleEndpoint("e1");
  driver.state.otherGroupRooms = [{ ...ROOM }];
  return driver;
}

describe("more jobs than room, beside a group that has room", () => {
  test("a job that fits starts here", () => {
    const driver = createBesideGroup();
    driver.submit({ id: "j1", steps: [createStep(2)] });

    assert.equal(driver.starts.length, 2);
    assert.deepEqual(driver.passed, []);
  });

  test("one that does not fit whole goes there, and starts nothing here", () => {
    const driver = createBesideGroup();
    driver.submit({ id: "j1", steps: [createStep(3)] });

    assert.deepEqual(driver.passed, [{ jobId: "j1", group: "north" }]);
    assert.equal(driver.starts.length, 0);
    assert.equal(driver.state.jobs.size, 0);
    assert.equal(driver.outcomes.size, 0);
  });

  test("room that was heard of is used only once", () => {
    const driver = createBesideGroup();
    driver.state.otherGroupRooms = [{ ...ROOM, places: 10 }];
    driver.submit({ id: "j1", steps: [createStep(4)] });
    driver.submit({ id: "j2", steps: [createStep(4)] });

    assert.deepEqual(driver.passed.map(({ jobId }) => jobId), ["j1"]);
    assert.ok(driver.state.jobs.has("j2"));
  });

  test("a job that waits goes when another group gets room", () => {
    const driver = createBesideGroup();
    driver.state.otherGroupRooms = [{ ...ROOM, places: 0 }];
    driver.submit({ id: "j1", steps: [createStep(2)] });
    driver.submit({ id: "j2", steps: [createStep(2)] });
    assert.deepEqual(driver.passed, []);
    driver.state.otherGroupRooms = [{ ...ROOM }];
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, [{ jobId: "j2", group: "north" }]);
  });

  test("a job that has begun stays", () => {
    const driver = createBesideGroup();
    driver.state.otherGroupRooms = [{ ...ROOM, places: 0 }];
    driver.submit({ id: "j1", steps: [createStep(4)] });
    assert.equal(driver.starts.length, 2);
    driver.state.otherGroupRooms = [{ ...ROOM }];
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, []);
  });

  test("a job that another scheduler may have begun stays", () => {
    const driver = createBesideGroup();
    driver.submit({ id: "j1", steps: [createStep(3)] }, {
      isResubmitted: true,
      wasSolo: false,
      done: [],
      placed: [],
    });

    assert.deepEqual(driver.passed, []);
  });

  // Guards against a task that runs twice: the other group would start it at once, beside the run that is being stopped here.
  test("a new job with a run of another that is being stopped here stays", () => {
    const driver = createBesideGroup();
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

  test("a job that was passed here is not passed on", () => {
    const driver = createBesideGroup();
    driver.submit({ id: "j1", steps: [createStep(3)], wasPassed: true });
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, []);
    assert.ok(driver.state.jobs.has("j1"));
  });

  test("a stored job stays with the group that keeps it", () => {
    const driver = createBesideGroup();
    driver.submitStored({ id: "j1", steps: [createStep(3)] });
    driver.advanceTo(20);

    assert.deepEqual(driver.passed, []);
  });

  test("the same id again goes where the job went, though there is room now", () => {
    const driver = createBesideGroup();
    driver.submit({ id: "j1", steps: [createStep(3)] });
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j1", steps: [createStep(3)] });

    assert.equal(driver.starts.length, 0);
    assert.equal(driver.passed.length, 2);
  });

  test("what waits already is taken off the room that is told", () => {
    const driver = createBesideGroup();
    driver.state.otherGroupRooms = [];
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j1", steps: [createStep(1)] });
    assert.equal(describeGroupCapacity(driver.state)[0].places, 3);
    driver.submit({ id: "j2", steps: [createStep(5)] });

    assert.equal(describeGroupCapacity(driver.state)[0].places, 0);
  });
});

describe("a VM is lost beside other groups", () => {
  for (const how of ["closed", "silent"] as const) {
    test(`its jobs are over before its callers may come back to another group (${how})`, () => {
      const driver = createSchedulerDriver({ hasOtherGroups: true });
      driver.addIdleEndpoint("e1");
      driver.submit({ id: "j1" });
      const [start] = driver.starts;
      driver.reply(start, { type: "accepted" });
      dropVm(driver.state, "vm-1", { how, nowMs: 0 });
      // A VM counts as silent when it was not heard for 600 ms.
      const resendMs = how === "closed" ? 1_300 : 1_300 - 600;
      driver.advanceTo(resendMs - 100);

      assert.equal(driver.stops.length, 1);
    });
  }

  test("a lone group goes on for callers that come back to it", () => {
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
