import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { dropCaller } from "../../src/scheduler/drop_caller.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { submitJob } from "../../src/scheduler/submit_job.ts";
import {
  createOrder,
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const NEW = { done: [], placed: [], isResubmitted: false, wasSolo: false };

/** Where several VMs are killed at once, as with a zone's power, their callers all come back through others after the resend time. */
describe("callers of killed VMs who come back", () => {
  for (const how of ["closed", "silent"] as const) {
    test(`are served when two VMs are lost and theirs was ${how}`, () => {
      const driver = createSchedulerDriver();
      driver.advanceTo(10);
      driver.addIdleEndpoint("e1");
      driver.submit({ id: "j" });
      const [first] = driver.starts;
      driver.reply(first, { type: "accepted" });
      const running = [{ task: "j.0.0.0", run: first.run, progress: 0.1 }];
      driver.state.lostVmCount = 2;
      // A silent one is found out after 0.6 s.
      const lostMs = how === "closed" ? 10 : 610;
      driver.advanceTo(lostMs);
      driver.list("e1", { running });
      dropVm(driver.state, "vm-1", { how, nowMs: lostMs });
      driver.advanceTo(1_100);
      const isStopped = driver.stops.length > 0;
      const ended = { number: 1, ...running[0], how: "stopped" as const };
      driver.list("e1", isStopped ? { ended: [ended] } : { running });
      driver.advanceTo(1_300);
      driver.outcomes.clear();
      driver.submit({ id: "j" }, NEW);
      driver.advanceTo(1_400);

      // Not answered at once, as failed, for as long as its end is remembered.
      assert.equal(driver.outcomes.get("j"), undefined);
    });
  }

  test("wait until a run of theirs that is being stopped has ended", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.state.lostVmCount = 2;
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 10 });
    driver.advanceTo(1_100);
    driver.submit({ id: "j" }, NEW);
    driver.advanceTo(1_120);
    assert.equal(driver.starts.length, 1);

    driver.confirmStop(first);
    driver.advanceTo(1_160);
    assert.equal(driver.starts.length, 1);
    driver.advanceTo(1_180);

    assert.equal(driver.starts.length, 2);
    assert.ok(driver.starts[1].run > first.run);
  });

  test("are served as well when their VM had heard them leave", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    dropCaller(driver.state, "j", { vm: "vm-1", nowMs: 10 });
    driver.advanceTo(20);
    const { run } = first;
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run, how: "stopped" }],
    });
    driver.outcomes.clear();
    driver.advanceTo(1_310);
    driver.submit({ id: "j" }, NEW);

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 2);
  });

  // Guards against callers who are refused for 10 s: their job had not begun when their connection broke.
  test("are served as well when their job had not begun by then", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "before", steps: [createStep(2)] });
    driver.submit({ id: "j", steps: [createStep(2)] }, NEW);
    dropCaller(driver.state, "j", { vm: "vm-1", nowMs: 10 });
    for (const [index, start] of driver.starts.entries()) {
      driver.reply(start, { type: "accepted" });
      driver.end(start, "done", index + 1);
    }
    driver.collect();
    driver.outcomes.delete("j");
    driver.advanceTo(1_310);
    driver.list("e1");
    driver.submit({ id: "j", steps: [createStep(2)] }, NEW);

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 4);
  });
});

describe("a VM that comes back after its jobs were given up", () => {
  // Guards against callers who wait on and are answered as failed, as their VM was away for a moment too long.
  test("has them go on when it hands them in again", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", stretch: 10 });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.state.lostVmCount = 1;
    driver.advanceTo(610);
    dropVm(driver.state, "vm-1", { how: "silent", nowMs: 610 });
    driver.advanceTo(1_020);
    assert.equal(driver.stops.length, 1);
    driver.outcomes.clear();
    driver.advanceTo(1_100);
    const progress = { ...NEW, isResubmitted: true };
    driver.submit({ id: "j", stretch: 10 }, progress);
    driver.confirmStop(first);
    driver.advanceTo(1_200);

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 2);
  });
});

describe("a caller that was refused as not run and comes back when it was told to", () => {
  // Guards against a refusal that outlives its cause: the end of a job is remembered for 10 s.
  test("is served where there is room by then", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "before", steps: [createStep(2)] });
    driver.submit({ id: "j", steps: [createStep(2)] }, NEW);
    for (let atMs = 20; !driver.outcomes.has("j"); atMs += 20) {
      driver.advanceTo(atMs);
    }
    const refusal = driver.outcomes.get("j");
    assert.ok(refusal?.type === "refused" && refusal.retryAfterMs === 1_000);
    for (const [index, start] of driver.starts.entries()) {
      driver.reply(start, { type: "accepted" });
      driver.end(start, "done", index + 1);
    }
    driver.outcomes.clear();
    driver.advanceTo(8_000);
    driver.list("e1");
    const order = createOrder({ id: "j", steps: [createStep(2)] });
    const vm = "vm-2";
    submitJob(driver.state, order, { vm, nowMs: 8_000, progress: NEW });
    driver.collect();

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 4);
    // Nobody else waits for it by now.
    dropCaller(driver.state, "j", { vm, nowMs: 8_010 });
    assert.equal(driver.state.jobs.get("j")?.outcome?.type, "failed");
  });
});
