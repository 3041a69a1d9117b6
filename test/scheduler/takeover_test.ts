import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { computeLeaseEnd } from "../../src/scheduler/compute_lease_end.ts";
import { setEndpointTakenOver } from "../../src/scheduler/set_endpoint_taken_over.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const RESUBMITTED = {
  done: [],
  placed: [],
  isResubmitted: true,
  wasSolo: false,
};

describe("a takeover from an earlier scheduler", () => {
  test("a listed run is adopted and its task is not started again", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addEndpoint("e1");
    driver.list("e1", {
      running: [{ task: "j.0.0.0", run: 100_001, progress: 0 }],
    });

    driver.submit({ id: "j" }, RESUBMITTED);
    assert.equal(driver.starts.length, 0);

    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: 100_001, how: "done" }],
    });
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a task is held until every endpoint that might run it has listed its runs", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");
    driver.addEndpoint("e2");

    driver.submit({ id: "j" }, RESUBMITTED);
    driver.advanceTo(20);
    assert.equal(driver.starts.length, 0);

    driver.list("e2", {
      running: [{ task: "j.0.0.0", run: 100_001, progress: 0 }],
    });
    driver.advanceTo(40);
    assert.equal(driver.starts.length, 0);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
  });

  test("a task that was placed on an endpoint outside the store's list is held even if all others have listed their runs", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");

    driver.submit({ id: "j" }, {
      ...RESUBMITTED,
      placed: [{ task: "j.0.0.0", endpointId: "cut-off" }],
    });
    driver.advanceTo(1_000);
    assert.equal(driver.starts.length, 0);

    driver.advanceTo(2_600);
    assert.equal(driver.starts.length, 1);
  });

  test("a task that does not run where its VM knew it last is held until every endpoint has listed its runs, as it may have been moved", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");
    driver.addEndpoint("e2");

    driver.submit({ id: "j" }, {
      ...RESUBMITTED,
      placed: [{ task: "j.0.0.0", endpointId: "e1" }],
    });
    driver.advanceTo(20);
    assert.equal(driver.starts.length, 0);

    driver.list("e2", {
      running: [{ task: "j.0.0.0", run: 100_003, progress: 0.5 }],
    });
    driver.advanceTo(40);
    assert.equal(driver.starts.length, 0);
    const [task] = driver.state.jobs.get("j")?.tasks ?? [];
    assert.equal(task.phase, "running");
    assert.equal(task.endpointId, "e2");
  });

  test("a task that a VM has started in solo mode is held until a listing requested after the resubmission", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.advanceTo(100);

    driver.submit({ id: "j" }, {
      ...RESUBMITTED,
      wasSolo: true,
      placed: [{ task: "j.0.0.0", endpointId: "e1" }],
    });
    driver.list("e1", { sentMs: 90 });
    driver.advanceTo(120);
    assert.equal(driver.starts.length, 0);

    driver.list("e1", { sentMs: 120 });
    driver.advanceTo(140);
    assert.equal(driver.starts.length, 1);
  });

  test("a task is held while an endpoint that left the store's list has never listed its runs", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");
    driver.addEndpoint("cut-off");
    driver.dropRow("cut-off");

    driver.submit({ id: "j" }, RESUBMITTED);
    driver.advanceTo(1_000);
    assert.equal(driver.starts.length, 0);

    driver.advanceTo(2_600);
    assert.equal(driver.starts.length, 1);
  });

  test("tasks that are known to be done are not started again", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");

    driver.submit({ id: "j", steps: [createStep(2)] }, {
      ...RESUBMITTED,
      done: ["j.0.0.0"],
    });
    driver.advanceTo(20);

    assert.deepEqual(driver.starts.map(({ task }) => task.name), ["j.0.0.1"]);
  });

  test("a job that another scheduler may have started is never refused as not run", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", ageMs: 60_000 }, RESUBMITTED);

    driver.advanceTo(3_000);

    assert.equal(driver.outcomes.get("j")?.type, "failed");
  });

  test("an orphaned job starts no more tasks", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", steps: [createStep(3)] });
    assert.equal(driver.starts.length, 2);
    dropVm(driver.state, "vm-1", { how: "silent", nowMs: 0 });

    driver.end(driver.starts[0], "done", 1);

    assert.equal(driver.starts.length, 2);
  });

  test("an orphaned job goes on when it is submitted again", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 0 });
    driver.submit({ id: "j" });

    driver.end(driver.starts[0], "done", 1);

    assert.equal(driver.starts.length, 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("after a takeover nothing is started and no lease extended at an endpoint with foreign runs", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addEndpoint("e1");
    driver.list("e1", {
      running: [{ task: "cut.0.0.0", run: 1, progress: 0 }],
    });
    const endpoint = driver.state.endpoints.get("e1");
    assert.ok(endpoint);

    driver.submit({ id: "j" });
    assert.equal(driver.starts.length, 0);
    assert.equal(computeLeaseEnd(driver.state, endpoint, 0), undefined);

    driver.list("e1");
    assert.equal(driver.starts.length, 1);
    assert.ok(computeLeaseEnd(driver.state, endpoint, 0));
  });

  test("a solo VM stops foreign runs and starts nothing at their endpoint before they have ended", () => {
    const driver = createSchedulerDriver({ token: 101, isSolo: true });
    driver.addEndpoint("e1");
    driver.list("e1", {
      running: [{ task: "other.0.0.0", run: 100_001, progress: 0 }],
    });

    driver.submit({ id: "j" });
    driver.advanceTo(20);
    assert.equal(driver.starts.length, 0);
    assert.deepEqual(driver.stops.map(({ task }) => task), ["other.0.0.0"]);

    driver.list("e1");
    assert.equal(driver.starts.length, 1);
  });

  test("a solo VM refuses jobs at once when every endpoint obeys a later scheduler", () => {
    const driver = createSchedulerDriver({ token: 101, isSolo: true });
    driver.addEndpoint("e1");
    setEndpointTakenOver(driver.state, "e1");

    driver.submit({ id: "j" });

    assert.equal(driver.outcomes.get("j")?.type, "refused");
  });

  test("a task whose foreign run is being stopped starts elsewhere only when that run has ended", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addEndpoint("e1");
    const running = [{ task: "j.0.0.0", run: 100_001, progress: 0 }];
    driver.list("e1", { running });
    driver.addIdleEndpoint("e2");
    driver.advanceTo(500);
    assert.equal(driver.stops.length, 1);

    driver.submit({ id: "j" }, {
      ...RESUBMITTED,
      placed: [{ task: "j.0.0.0", endpointId: "e1" }],
    });
    driver.advanceTo(520);
    driver.list("e1", { running });
    driver.advanceTo(540);
    assert.equal(driver.starts.length, 0);

    driver.list("e1");
    driver.advanceTo(560);
    assert.equal(driver.starts.length, 1);
  });
});
