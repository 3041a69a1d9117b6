import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { dropCaller } from "../../src/scheduler/drop_caller.ts";
import { setEndpointTaken } from "../../src/scheduler/set_endpoint_taken.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const TASK = "j.0.0.0";
const NEW = { done: [], placed: [], isResubmitted: false, wasSolo: false };
const AGAIN = { ...NEW, isResubmitted: true };
const SERVED_ALONE = { ...AGAIN, wasSolo: true };

type Driver = ReturnType<typeof createSchedulerDriver>;

function createDriver(): Driver {
  const driver = createSchedulerDriver({ token: 1_800 });
  driver.advanceTo(10);
  for (const id of ["e1", "e2"]) driver.addIdleEndpoint(id);
  return driver;
}

function listAdopted(driver: Driver): unknown[] {
  return driver.events.filter(({ event }) => event === "runAdopted");
}

function startOwn(driver: Driver, tasks = 1) {
  driver.submit({ id: "j", steps: [createStep(tasks)] });
  for (const start of driver.starts) {
    driver.reply(start, { type: "accepted" });
  }
  dropVm(driver.state, "vm-1", { how: "closed", nowMs: 10 });
  return driver.starts[0];
}

describe("runs that another decider has started", () => {
  // Guards against a second start by the own lease, which had ended before the run was heard of.
  test("are over no sooner than a whole lease after the listing that showed them", () => {
    const driver = createDriver();
    driver.advanceTo(20);
    driver.submit({ id: "j" }, SERVED_ALONE);
    driver.advanceTo(500);
    driver.list("e1", { running: [{ task: TASK, run: 7, progress: 0 }] });
    assert.equal(listAdopted(driver).length, 1);
    driver.silence("e1");
    driver.advanceTo(1_590);

    assert.deepEqual(driver.starts, []);
  });

  // Guards against going on with a run as it was before another's last act.
  test("are not taken up from a listing that was asked for before the job was handed in", () => {
    const driver = createDriver();
    driver.advanceTo(300);
    driver.submit({ id: "j" }, SERVED_ALONE);
    const running = [{ task: TASK, run: 7, progress: 0 }];
    driver.list("e1", { sentMs: 290, running });
    assert.equal(listAdopted(driver).length, 0);
    driver.advanceTo(320);
    driver.list("e1", { running });

    assert.equal(listAdopted(driver).length, 1);
  });

  // Guards against the same at an endpoint that obeys another by now.
  test("are not taken up at an endpoint that obeys another", () => {
    const driver = createDriver();
    driver.list("e1", { running: [{ task: TASK, run: 7, progress: 0 }] });
    setEndpointTaken(driver.state, "e1");
    driver.submit({ id: "j" }, AGAIN);

    assert.equal(listAdopted(driver).length, 0);
    assert.deepEqual(driver.starts, []);
  });

  // Guards against a task that waits without end for a run at an endpoint that is gone.
  test("are waited for until the lease of a silent endpoint is over, no longer", () => {
    const driver = createDriver();
    driver.list("e1", { running: [{ task: TASK, run: 7, progress: 0 }] });
    driver.advanceTo(420);
    assert.equal(driver.stops.length, 1);
    driver.submit({ id: "j", stretch: 20 }, NEW);
    driver.silence("e1");
    driver.advanceTo(1_000);
    assert.deepEqual(driver.starts, []);
    driver.advanceTo(3_000);

    assert.deepEqual(driver.starts.map(({ endpointId }) => endpointId), ["e2"]);
  });
});

describe("a job that a VM has served alone while it was kept here", () => {
  // Guards against a run that goes on though its task is done.
  test("has its run here stopped where the VM has done the task", () => {
    const driver = createDriver();
    startOwn(driver, 2);
    driver.submit({ id: "j" }, { ...SERVED_ALONE, done: [TASK] });

    assert.deepEqual(driver.stops.map(({ task }) => task), [TASK]);
  });

  // Guards against a run that nobody stops: the VM's place is not where the run is.
  test("has its run here stopped when its caller leaves, whatever place the VM names", () => {
    const driver = createDriver();
    const own = startOwn(driver);
    const endpointId = own.endpointId === "e1" ? "e2" : "e1";
    const placed = [{ task: TASK, endpointId }];
    driver.submit({ id: "j" }, { ...SERVED_ALONE, placed });
    dropCaller(driver.state, "j", { vm: "vm-1", nowMs: 20 });
    driver.collect();

    const stopped = driver.stops.map((stop) => stop.endpointId);
    assert.deepEqual(stopped, [own.endpointId]);
  });
});
