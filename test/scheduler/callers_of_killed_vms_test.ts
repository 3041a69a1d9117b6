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

const NEWLY_SUBMITTED = {
  done: [],
  placed: [],
  isResubmitted: false,
  wasSolo: false,
};

/** When several VMs are killed at once, for example by a power failure in a zone, all their callers return through other VMs after the resend time. */
describe("callers who return through another VM after theirs was killed", () => {
  for (const how of ["closed", "silent"] as const) {
    test(`are served when two VMs are lost and the link to theirs was ${how}`, () => {
      const driver = createSchedulerDriver();
      driver.advanceTo(10);
      driver.addIdleEndpoint("e1");
      driver.submit({ id: "j" });
      const [first] = driver.starts;
      driver.reply(first, { type: "accepted" });
      const running = [{ task: "j.0.0.0", run: first.run, progress: 0.1 }];
      driver.state.lostVmCount = 2;
      // A VM counts as unresponsive after 600 ms.
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
      driver.submit({ id: "j" }, NEWLY_SUBMITTED);
      driver.advanceTo(1_400);

      // The retained outcome of the abandoned job must not be the answer.
      assert.equal(driver.outcomes.get("j"), undefined);
    });
  }

  test("have their task started again only after the run that is being stopped has ended", () => {
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
    driver.submit({ id: "j" }, NEWLY_SUBMITTED);
    driver.advanceTo(1_120);
    assert.equal(driver.starts.length, 1);

    driver.confirmStop(first);
    driver.advanceTo(1_160);
    assert.equal(driver.starts.length, 1);
    driver.advanceTo(1_180);

    assert.equal(driver.starts.length, 2);
    assert.ok(driver.starts[1].run > first.run);
  });

  test("are served when their VM had already reported that they left", () => {
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
    driver.submit({ id: "j" }, NEWLY_SUBMITTED);

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 2);
  });

  // Guards against refusing callers for the 10 s for which an ended job is retained, when their connection was lost before the job had started.
  test("are served when their job had not started before they left", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "before", steps: [createStep(2)] });
    driver.submit({ id: "j", steps: [createStep(2)] }, NEWLY_SUBMITTED);
    dropCaller(driver.state, "j", { vm: "vm-1", nowMs: 10 });
    for (const [index, start] of driver.starts.entries()) {
      driver.reply(start, { type: "accepted" });
      driver.end(start, "done", index + 1);
    }
    driver.collect();
    driver.outcomes.delete("j");
    driver.advanceTo(1_310);
    driver.list("e1");
    driver.submit({ id: "j", steps: [createStep(2)] }, NEWLY_SUBMITTED);

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 4);
  });
});

describe("a VM that returns after its jobs were abandoned", () => {
  // Guards against a failure answer to callers who still wait, when their VM was unresponsive for slightly longer than the grace period.
  test("has its jobs reopened when it resubmits them", () => {
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
    const progress = { ...NEWLY_SUBMITTED, isResubmitted: true };
    driver.submit({ id: "j", stretch: 10 }, progress);
    driver.confirmStop(first);
    driver.advanceTo(1_200);

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 2);
  });
});

describe("a caller whose job was refused and that returns after the retry time", () => {
  // Guards against repeating a refusal whose cause is gone: the outcome of a job is retained for 10 s.
  test("is served when there is free capacity by then", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "before", steps: [createStep(2)] });
    driver.submit({ id: "j", steps: [createStep(2)] }, NEWLY_SUBMITTED);
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
    submitJob(driver.state, order, {
      vm,
      nowMs: 8_000,
      progress: NEWLY_SUBMITTED,
    });
    driver.collect();

    assert.equal(driver.outcomes.get("j"), undefined);
    assert.equal(driver.starts.length, 4);
    // The returned caller is the only one that waits, so the job ends when it leaves.
    dropCaller(driver.state, "j", { vm, nowMs: 8_010 });
    assert.equal(driver.state.jobs.get("j")?.outcome?.type, "failed");
  });
});
