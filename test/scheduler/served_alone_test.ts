import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { setEndpointTaken } from "../../src/scheduler/set_endpoint_taken.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { reclaimEndpoints } from "../../src/scheduler/reclaim_endpoints.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

/** The number that the VM at place 4 gives its first run in epoch 18. */
const SOLO_RUN = 1_804_001;
const SOLO_RUNNING = [{ task: "j.0.0.0", run: SOLO_RUN, progress: 0 }];
const RETURNED = {
  done: [],
  placed: [{ task: "j.0.0.0", endpointId: "e2" }],
  isResubmitted: true,
  wasSolo: true,
};

/** The scheduler of epoch 18 with endpoint e1 in its own hands, and e2 that a VM uses alone. */
function createBesideSolo() {
  const driver = createSchedulerDriver({ token: 1_800 });
  driver.advanceTo(10);
  driver.addIdleEndpoint("e1");
  driver.addIdleEndpoint("e2");
  return {
    ...driver,
    loseLink: (how: "closed" | "silent", nowMs: number) =>
      dropVm(driver.state, "vm-1", { how, nowMs }),
    loseE2: () => setEndpointTaken(driver.state, "e2"),
    takeBackE2: () => reclaimEndpoints(driver.state, 1_900, new Set(["a"])),
  };
}

/** Guards against the incident of 2026-12-04: what a VM had begun while it served alone was begun again beside it. */
describe("tasks that a VM has started while it served alone", () => {
  test("a run that the VM was still extending when it was listed is not over with the scheduler's own lease", () => {
    const driver = createBesideSolo();
    driver.advanceTo(100);
    // Held back by the endpoint while the VM begins its run there.
    driver.extendLease("e2");
    driver.list("e2", {
      sentMs: 100,
      receivedMs: 350,
      clockMs: 350,
      running: SOLO_RUNNING,
    });
    driver.advanceTo(360);
    driver.submit({ id: "j" }, RETURNED);
    driver.loseE2();
    // The VM has extended the lease until 1360 at most.
    driver.advanceTo(1_300);

    assert.deepEqual(driver.starts, []);
  });

  test("a run that the VM went on extending after it was listed is not over before it is listed anew", () => {
    const driver = createBesideSolo();
    driver.advanceTo(100);
    driver.list("e2", { sentMs: 50, running: SOLO_RUNNING });
    driver.loseE2();
    // Until now the VM has extended the lease, to 1450 at most.
    driver.advanceTo(450);
    driver.submit({ id: "j" }, RETURNED);
    driver.advanceTo(1_400);
    assert.deepEqual(driver.starts, []);

    driver.takeBackE2();
    driver.list("e2", { running: SOLO_RUNNING });
    driver.advanceTo(1_420);
    driver.list("e2", {
      ended: [{ number: 1, task: "j.0.0.0", run: SOLO_RUN, how: "done" }],
    });

    assert.deepEqual(driver.starts, []);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a run that is listed again after the VM came back goes on", () => {
    const driver = createBesideSolo();
    driver.advanceTo(100);
    driver.list("e2", { sentMs: 50, running: SOLO_RUNNING });
    driver.submit({ id: "j" }, RETURNED);
    driver.advanceTo(110);
    driver.list("e2", { running: SOLO_RUNNING });
    driver.advanceTo(120);

    driver.list("e2", {
      ended: [{ number: 1, task: "j.0.0.0", run: SOLO_RUN, how: "done" }],
    });

    assert.deepEqual(driver.starts, []);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a run taken over from such a VM is not taken as stopped because an earlier run of its task was", () => {
    const driver = createBesideSolo();
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    assert.equal(first.endpointId, "e1");
    driver.reply(first, { type: "accepted" });
    driver.loseLink("closed", 10);
    driver.loseE2();
    driver.confirmStop(first);
    driver.advanceTo(100);
    assert.equal(driver.state.endpoints.get("e1")?.runs.size, 0);

    driver.advanceTo(1_500);
    driver.takeBackE2();
    driver.list("e2", { running: SOLO_RUNNING });
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
    driver.submit({ id: "j" }, RETURNED);
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 1);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
  });

  test("a task that such a VM may have started waits when the VM comes back before its job was given up", () => {
    const driver = createBesideSolo();
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.loseLink("closed", 10);
    driver.loseE2();
    driver.advanceTo(20);
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: first.run, how: "failed" }],
    });
    assert.equal(driver.starts.length, 1);

    driver.advanceTo(1_500);
    driver.submit({ id: "j" }, RETURNED);
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 1);
  });

  test("a task that such a VM has done is not started again when the VM comes back before its job was given up", () => {
    const driver = createBesideSolo();
    driver.submit({ id: "j", steps: [createStep(2)] });
    const [one, other] = driver.starts;
    driver.reply(one, { type: "accepted" });
    driver.reply(other, { type: "accepted" });
    driver.loseLink("closed", 10);
    driver.loseE2();
    driver.advanceTo(20);
    driver.list("e1", {
      running: [{ task: other.task.name, run: other.run, progress: 0 }],
      ended: [{ number: 1, task: one.task.name, run: one.run, how: "stopped" }],
    });

    driver.advanceTo(1_500);
    driver.submit({ id: "j", steps: [createStep(2)] }, {
      ...RETURNED,
      done: [one.task.name],
      placed: [],
    });
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 2);
  });

  test("a run taken over from such a VM counts as over only when a lease that the VM may have given has ended", () => {
    const driver = createBesideSolo();
    driver.loseE2();
    driver.advanceTo(2_000);
    driver.takeBackE2();
    // Beside a run that nobody has handed in yet, no lease is given.
    const other = { task: "k.0.0.0", run: SOLO_RUN, progress: 0 };
    driver.list("e2", { running: [...SOLO_RUNNING, other] });
    driver.submit({ id: "j" }, RETURNED);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
    assert.equal(driver.readLease("e2"), undefined);

    driver.silence("e2");
    driver.advanceTo(2_900);

    assert.equal(driver.starts.length, 0);
  });

  test("a task that is free again starts nowhere while an endpoint lists another run of it", () => {
    const driver = createBesideSolo();
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.loseE2();
    driver.advanceTo(1_500);
    driver.takeBackE2();
    driver.list("e2", { running: SOLO_RUNNING });

    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: first.run, how: "stopped" }],
    });
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 1);
  });

  test("a run that is listed elsewhere keeps only its own task from starting", () => {
    const driver = createBesideSolo();
    driver.submit({ id: "j", steps: [createStep(2)] });
    const own = [...driver.starts];
    for (const start of own) driver.reply(start, { type: "accepted" });
    driver.loseE2();
    driver.advanceTo(1_500);
    driver.takeBackE2();
    driver.list("e2", { running: SOLO_RUNNING });

    driver.list("e1", {
      ended: own.map(({ task, run }, index) => ({
        number: index + 1,
        task: task.name,
        run,
        how: "stopped",
      })),
    });

    assert.deepEqual(driver.starts.slice(2).map(({ task }) => task.name), [
      "j.0.0.1",
    ]);
  });

  test("of two runs of a task that are listed when its job comes the second is not forgotten when the first has ended", () => {
    const driver = createBesideSolo();
    driver.addEndpoint("e3");
    const earlier = [{ task: "j.0.0.0", run: 1_700_001, progress: 0 }];
    driver.list("e2", { running: SOLO_RUNNING });
    driver.list("e3", { running: earlier });
    driver.submit({ id: "j" }, RETURNED);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);

    driver.list("e2", {
      ended: [{ number: 1, task: "j.0.0.0", run: SOLO_RUN, how: "stopped" }],
    });
    driver.advanceTo(20);

    assert.equal(driver.starts.length, 0);
  });

  test("a run that is gone from an endpoint taken back starts nowhere until the other endpoints that such a VM had have told what they run", () => {
    const driver = createBesideSolo();
    driver.addIdleEndpoint("e3");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.loseLink("closed", 10);
    for (const id of ["e1", "e2"]) setEndpointTaken(driver.state, id);
    driver.advanceTo(1_000);
    driver.submit({ id: "j" }, RETURNED);
    driver.takeBackE2();

    driver.list("e1");
    assert.equal(driver.starts.length, 1);
    driver.list("e2", { running: SOLO_RUNNING });
    driver.advanceTo(1_020);

    assert.equal(driver.starts.length, 1);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
  });

  test("a task whose run's lease has ended where such a VM was starts nowhere until that VM's other endpoints have told what they run", () => {
    const driver = createBesideSolo();
    driver.addIdleEndpoint("e3");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.loseLink("closed", 10);
    for (const id of ["e1", "e2"]) setEndpointTaken(driver.state, id);
    driver.advanceTo(1_000);
    driver.submit({ id: "j" }, RETURNED);

    driver.advanceTo(1_200);
    assert.equal(driver.state.endpoints.get("e1")?.runs.size, 0);

    assert.equal(driver.starts.length, 1);
  });

  test("a job that such a VM may have begun is not answered as not run", () => {
    const driver = createBesideSolo();
    driver.submit({ id: "full", steps: [createStep(4)] });
    driver.submit({ id: "j", steps: [createStep(1, { estimateMs: 100 })] });
    driver.loseLink("closed", 10);
    driver.advanceTo(1_500);
    assert.equal(driver.outcomes.get("j")?.type, "refused");
    driver.outcomes.clear();

    driver.submit({ id: "j" }, RETURNED);
    driver.advanceTo(1_520);

    assert.notEqual(driver.outcomes.get("j")?.type, "refused");
  });

  test("a VM that serves alone lets no endpoint forget the end of a stored job's run, though it was told of none before it lost its link", () => {
    const driver = createSchedulerDriver({
      token: 101,
      isSolo: true,
      hasKeptJobs: false,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "s.0.0.0", run: 100_002, how: "done" }],
    });

    assert.equal(driver.readAcknowledged("e1"), 0);
  });
});
