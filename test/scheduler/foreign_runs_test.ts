import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { dropCaller } from "../../src/scheduler/drop_caller.ts";
import { setEndpointTakenOver } from "../../src/scheduler/set_endpoint_taken_over.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const TASK = "j.0.0.0";
const NEWLY_SUBMITTED = {
  done: [],
  placed: [],
  isResubmitted: false,
  wasSolo: false,
};
const RESUBMITTED = { ...NEWLY_SUBMITTED, isResubmitted: true };
const RESUBMITTED_BY_SOLO_VM = { ...RESUBMITTED, wasSolo: true };

type Driver = ReturnType<typeof createSchedulerDriver>;

function createDriver(): Driver {
  const driver = createSchedulerDriver({ token: 1_800 });
  driver.advanceTo(10);
  for (const id of ["e1", "e2"]) driver.addIdleEndpoint(id);
  return driver;
}

function listAdoptions(driver: Driver): unknown[] {
  return driver.events.filter(({ event }) => event === "runAdopted");
}

/** Submits job `j`, has its starts accepted and loses its VM; returns the first start. */
function startOwnRun(driver: Driver, tasks = 1) {
  driver.submit({ id: "j", steps: [createStep(tasks)] });
  for (const start of driver.starts) {
    driver.reply(start, { type: "accepted" });
  }
  dropVm(driver.state, "vm-1", { how: "closed", nowMs: 10 });
  return driver.starts[0];
}

describe("runs that another scheduler has started", () => {
  // Guards against a second start after this scheduler's own lease, which may have expired before the foreign run was listed.
  test("count as ended no sooner than a full lease after the listing that showed them", () => {
    const driver = createDriver();
    driver.advanceTo(20);
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.advanceTo(500);
    driver.list("e1", { running: [{ task: TASK, run: 7, progress: 0 }] });
    assert.equal(listAdoptions(driver).length, 1);
    driver.setUnresponsive("e1");
    driver.advanceTo(1_590);

    assert.deepEqual(driver.starts, []);
  });

  // Guards against adopting a run that the other scheduler has stopped since the listing.
  test("are not adopted from a listing that was requested before the job was submitted", () => {
    const driver = createDriver();
    driver.advanceTo(300);
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    const running = [{ task: TASK, run: 7, progress: 0 }];
    driver.list("e1", { sentMs: 290, running });
    assert.equal(listAdoptions(driver).length, 0);
    driver.advanceTo(320);
    driver.list("e1", { running });

    assert.equal(listAdoptions(driver).length, 1);
  });

  // Guards against adopting a run at an endpoint where a later scheduler may have stopped it since.
  test("are not adopted at an endpoint that obeys a later scheduler", () => {
    const driver = createDriver();
    driver.list("e1", { running: [{ task: TASK, run: 7, progress: 0 }] });
    setEndpointTakenOver(driver.state, "e1");
    driver.submit({ id: "j" }, RESUBMITTED);

    assert.equal(listAdoptions(driver).length, 0);
    assert.deepEqual(driver.starts, []);
  });

  // Guards against a task that never starts because its foreign run was at an endpoint that does not answer any more.
  test("keep their task from starting only until the lease of the unresponsive endpoint has expired", () => {
    const driver = createDriver();
    driver.list("e1", { running: [{ task: TASK, run: 7, progress: 0 }] });
    driver.advanceTo(420);
    assert.equal(driver.stops.length, 1);
    driver.submit({ id: "j", stretch: 20 }, NEWLY_SUBMITTED);
    driver.setUnresponsive("e1");
    driver.advanceTo(1_000);
    assert.deepEqual(driver.starts, []);
    driver.advanceTo(3_000);

    assert.deepEqual(driver.starts.map(({ endpointId }) => endpointId), ["e2"]);
  });
});

describe("a job that a VM has run in solo mode while it was open at this scheduler too", () => {
  // Guards against a run that goes on although its task is done.
  test("has its run here stopped when the VM has completed the task", () => {
    const driver = createDriver();
    startOwnRun(driver, 2);
    driver.submit({ id: "j" }, { ...RESUBMITTED_BY_SOLO_VM, done: [TASK] });

    assert.deepEqual(driver.stops.map(({ task }) => task), [TASK]);
  });

  // Guards against a run that is never stopped because the VM reports another endpoint than the run's.
  test("has its run here stopped when its caller leaves, whatever endpoint the VM reports", () => {
    const driver = createDriver();
    const own = startOwnRun(driver);
    const endpointId = own.endpointId === "e1" ? "e2" : "e1";
    const placed = [{ task: TASK, endpointId }];
    driver.submit({ id: "j" }, { ...RESUBMITTED_BY_SOLO_VM, placed });
    dropCaller(driver.state, "j", { vm: "vm-1", nowMs: 20 });
    driver.collect();

    const stopped = driver.stops.map((stop) => stop.endpointId);
    assert.deepEqual(stopped, [own.endpointId]);
  });
});
