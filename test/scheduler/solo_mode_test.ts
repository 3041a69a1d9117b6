import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { setEndpointTakenOver } from "../../src/scheduler/set_endpoint_taken_over.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { reclaimEndpoints } from "../../src/scheduler/reclaim_endpoints.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

/** Number of the first run that a solo VM starts in epoch 18 if it is the fourth VM of its data centre by name. */
const SOLO_RUN = 1_804_001;
const SOLO_RUNNING = [{ task: "j.0.0.0", run: SOLO_RUN, progress: 0 }];
const RESUBMITTED_BY_SOLO_VM = {
  done: [],
  placed: [{ task: "j.0.0.0", endpointId: "e2" }],
  isResubmitted: true,
  wasSolo: true,
};

/** Creates the scheduler of epoch 18 with the endpoints e1 and e2. A VM in solo mode takes over e2 with `loseE2`; `reclaimE2` reclaims it. */
function createWithSoloVm() {
  const driver = createSchedulerDriver({ token: 1_800 });
  driver.advanceTo(10);
  driver.addIdleEndpoint("e1");
  driver.addIdleEndpoint("e2");
  return {
    ...driver,
    loseLink: (how: "closed" | "silent", nowMs: number) =>
      dropVm(driver.state, "vm-1", { how, nowMs }),
    loseE2: () => setEndpointTakenOver(driver.state, "e2"),
    reclaimE2: () => reclaimEndpoints(driver.state, 1_900, new Set(["a"])),
  };
}

/** Guards against the incident of 2026-12-04: tasks that a VM had started in solo mode were started a second time by the scheduler. */
describe("tasks that a VM has started in solo mode", () => {
  test("a run does not count as ended when the scheduler's own lease expires if the VM could still extend the lease when the run was listed", () => {
    const driver = createWithSoloVm();
    driver.advanceTo(100);
    // The endpoint holds the listing back until 350 ms, while the VM starts its run there.
    driver.extendLease("e2");
    driver.list("e2", {
      sentMs: 100,
      receivedMs: 350,
      clockMs: 350,
      running: SOLO_RUNNING,
    });
    driver.advanceTo(360);
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.loseE2();
    // The VM may have extended the lease until 1360 ms.
    driver.advanceTo(1_300);

    assert.deepEqual(driver.starts, []);
  });

  test("a run does not count as ended before it is listed again if the VM went on extending the endpoint's lease after the listing", () => {
    const driver = createWithSoloVm();
    driver.advanceTo(100);
    driver.list("e2", { sentMs: 50, running: SOLO_RUNNING });
    driver.loseE2();
    // The VM may have extended the lease until now, to 1450 ms.
    driver.advanceTo(450);
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.advanceTo(1_400);
    assert.deepEqual(driver.starts, []);

    driver.reclaimE2();
    driver.list("e2", { running: SOLO_RUNNING });
    driver.advanceTo(1_420);
    driver.list("e2", {
      ended: [{ number: 1, task: "j.0.0.0", run: SOLO_RUN, how: "done" }],
    });

    assert.deepEqual(driver.starts, []);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a run that is listed again after the VM returned is adopted", () => {
    const driver = createWithSoloVm();
    driver.advanceTo(100);
    driver.list("e2", { sentMs: 50, running: SOLO_RUNNING });
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.advanceTo(110);
    driver.list("e2", { running: SOLO_RUNNING });
    driver.advanceTo(120);

    driver.list("e2", {
      ended: [{ number: 1, task: "j.0.0.0", run: SOLO_RUN, how: "done" }],
    });

    assert.deepEqual(driver.starts, []);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("an adopted run does not count as stopped because an earlier run of its task was stopped", () => {
    const driver = createWithSoloVm();
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
    driver.reclaimE2();
    driver.list("e2", { running: SOLO_RUNNING });
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 1);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
  });

  test("a task that the VM may have started is held when the VM returns before its job was abandoned", () => {
    const driver = createWithSoloVm();
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
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 1);
  });

  test("a task that the VM has completed is not started again when the VM returns before its job was abandoned", () => {
    const driver = createWithSoloVm();
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
      ...RESUBMITTED_BY_SOLO_VM,
      done: [one.task.name],
      placed: [],
    });
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 2);
  });

  test("an adopted run counts as ended only when a lease that the VM may have granted has expired", () => {
    const driver = createWithSoloVm();
    driver.loseE2();
    driver.advanceTo(2_000);
    driver.reclaimE2();
    // The lease is not extended while the endpoint also lists a foreign run whose job has not been submitted.
    const other = { task: "k.0.0.0", run: SOLO_RUN, progress: 0 };
    driver.list("e2", { running: [...SOLO_RUNNING, other] });
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
    assert.equal(driver.readLeaseEnd("e2"), undefined);

    driver.setUnresponsive("e2");
    driver.advanceTo(2_900);

    assert.equal(driver.starts.length, 0);
  });

  test("a requeued task starts nowhere while an endpoint lists a foreign run of it", () => {
    const driver = createWithSoloVm();
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.loseE2();
    driver.advanceTo(1_500);
    driver.reclaimE2();
    driver.list("e2", { running: SOLO_RUNNING });

    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: first.run, how: "stopped" }],
    });
    driver.advanceTo(1_520);

    assert.equal(driver.starts.length, 1);
  });

  test("a foreign run keeps only its own task from starting", () => {
    const driver = createWithSoloVm();
    driver.submit({ id: "j", steps: [createStep(2)] });
    const own = [...driver.starts];
    for (const start of own) driver.reply(start, { type: "accepted" });
    driver.loseE2();
    driver.advanceTo(1_500);
    driver.reclaimE2();
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

  test("when two runs of a task are listed before its job is submitted, the task does not start again after the adopted one has ended while the other is still listed", () => {
    const driver = createWithSoloVm();
    driver.addEndpoint("e3");
    const earlier = [{ task: "j.0.0.0", run: 1_700_001, progress: 0 }];
    driver.list("e2", { running: SOLO_RUNNING });
    driver.list("e3", { running: earlier });
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);

    driver.list("e2", {
      ended: [{ number: 1, task: "j.0.0.0", run: SOLO_RUN, how: "stopped" }],
    });
    driver.advanceTo(20);

    assert.equal(driver.starts.length, 0);
  });

  test("a task whose run is missing at a reclaimed endpoint starts nowhere until the VM's other endpoints have listed their runs", () => {
    const driver = createWithSoloVm();
    driver.addIdleEndpoint("e3");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.loseLink("closed", 10);
    for (const id of ["e1", "e2"]) setEndpointTakenOver(driver.state, id);
    driver.advanceTo(1_000);
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.reclaimE2();

    driver.list("e1");
    assert.equal(driver.starts.length, 1);
    driver.list("e2", { running: SOLO_RUNNING });
    driver.advanceTo(1_020);

    assert.equal(driver.starts.length, 1);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 1);
  });

  test("a task whose run's lease has expired at an endpoint of the VM starts nowhere until the VM's other endpoints have listed their runs", () => {
    const driver = createWithSoloVm();
    driver.addIdleEndpoint("e3");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.loseLink("closed", 10);
    for (const id of ["e1", "e2"]) setEndpointTakenOver(driver.state, id);
    driver.advanceTo(1_000);
    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);

    driver.advanceTo(1_200);
    assert.equal(driver.state.endpoints.get("e1")?.runs.size, 0);

    assert.equal(driver.starts.length, 1);
  });

  test("a job that the VM may have started is not refused as not run", () => {
    const driver = createWithSoloVm();
    driver.submit({ id: "full", steps: [createStep(4)] });
    driver.submit({ id: "j", steps: [createStep(1, { estimateMs: 100 })] });
    driver.loseLink("closed", 10);
    driver.advanceTo(1_500);
    assert.equal(driver.outcomes.get("j")?.type, "refused");
    driver.outcomes.clear();

    driver.submit({ id: "j" }, RESUBMITTED_BY_SOLO_VM);
    driver.advanceTo(1_520);

    assert.notEqual(driver.outcomes.get("j")?.type, "refused");
  });

  test("a solo VM acknowledges no run end of a stored job, even if it knew of no stored jobs when it lost its link", () => {
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
