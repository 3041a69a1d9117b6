import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const SMALL_ROOM = { cpu: 1_000, memoryMb: 64_000, gpus: 0 };
const NO_ROOM = { cpu: 0, memoryMb: 0, gpus: 0 };
const FULL_ROOM = { cpu: 16_000, memoryMb: 64_000, gpus: 0 };

describe("endpoints whose capacity shrinks and grows", () => {
  test("nothing starts at an endpoint that has shrunk below what it runs, until runs end or it grows", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", steps: [createStep(4)], stretch: 30 });
    assert.equal(driver.starts.length, 2);

    driver.updateRow("e1", { room: { ...FULL_ROOM, cpu: 7_000 } });
    driver.end(driver.starts[0], "done", 1);
    driver.advanceTo(20);
    assert.equal(driver.starts.length, 2);

    driver.updateRow("e1", { room: FULL_ROOM });
    assert.equal(driver.starts.length, 3);
  });

  // A job that waited for capacity was failed as out of time, one that had not started was refused as never fitting.
  test("a job that fits no endpoint at present waits if it fitted before", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.updateRow("e1", { room: SMALL_ROOM });
    driver.submit({ id: "j", stretch: 30 });
    driver.advanceTo(100);
    assert.equal(driver.outcomes.get("j"), undefined);

    driver.updateRow("e1", { room: FULL_ROOM });
    assert.equal(driver.starts.length, 1);
  });

  test("a job that never fitted an endpoint is refused at once", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.updateRow("e1", { room: SMALL_ROOM });
    driver.submit({
      id: "j",
      steps: [createStep(1, { room: { ...FULL_ROOM, cpu: 17_000 } })],
    });

    const outcome = driver.outcomes.get("j");
    assert.equal(outcome?.type === "refused" && outcome.reason, "neverFits");
  });

  test("a task without CPU need is placed where there is capacity, beside an endpoint that has none", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2", { room: { ...NO_ROOM, memoryMb: 64 } });
    driver.submit({
      id: "j",
      steps: [createStep(1, { room: { cpu: 0, memoryMb: 64, gpus: 0 } })],
    });

    assert.equal(driver.starts.length, 1);
    assert.ok(
      [...driver.state.endpoints.values()].every(({ used }) =>
        Number.isFinite(used.cpu)
      ),
    );
  });

  // Starts were sent to a shrunk endpoint every 0.1 s until its row was read, each rejected for want of capacity.
  test("an endpoint that goes on rejecting starts for want of capacity is asked ever more seldom", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", stretch: 30 });
    for (let atMs = 20; atMs <= 2_000; atMs += 20) {
      const last = driver.starts.at(-1);
      if (last && last.task.phase === "starting") {
        driver.reply(last, { type: "rejected", reason: "noRoom" });
      }
      driver.list("e1", { sentMs: atMs, receivedMs: atMs, clockMs: atMs });
      driver.advanceTo(atMs);
    }

    assert.ok(driver.starts.length <= 6, `${driver.starts.length} starts`);
  });

  test("a suspect does not start at the endpoint that was emptied for it while that has shrunk", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    const room = { cpu: 12_000, memoryMb: 64, gpus: 0 };
    driver.submit({ id: "j", steps: [createStep(1, { room })], stretch: 30 });
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "k", stretch: 30 });
    const [lost, beside] = driver.starts;
    assert.notEqual(lost.endpointId, beside.endpointId);
    driver.setUnresponsive(lost.endpointId, "broken");
    for (let atMs = 100; atMs <= 1_300; atMs += 100) {
      const { name } = beside.task;
      const running = [{ task: name, run: beside.run, progress: 0.1 }];
      driver.advanceTo(atMs);
      driver.list(beside.endpointId, { clockMs: atMs, running });
    }
    const kept = driver.state.endpoints.get(beside.endpointId);
    assert.equal(kept?.isolatedTask, lost.task);

    driver.updateRow(beside.endpointId, { room: SMALL_ROOM });
    driver.end(beside, "done", 1);
    driver.advanceTo(1_320);
    assert.equal(driver.starts.length, 2);
    driver.updateRow(beside.endpointId, { room: FULL_ROOM });
    assert.equal(driver.starts.length, 3);
  });
});
