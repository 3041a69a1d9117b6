import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

/** Starts a run on `e1` that has taken most of its expected run time, while `e2` is free. */
function startBesideFreeEndpoint() {
  const driver = createSchedulerDriver();
  driver.advanceTo(10);
  driver.addIdleEndpoint("e1");
  driver.submit({ id: "j" });
  driver.reply(driver.starts[0], { type: "accepted" });
  driver.addIdleEndpoint("e2");
  driver.advanceTo(800);
  return driver;
}

describe("runs of unknown state", () => {
  test("a start that was not answered is stopped, and its task starts elsewhere only when the stop has taken effect", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j" });
    const [start] = driver.starts;

    driver.reply(start, { type: "unanswered" });
    assert.equal(driver.stops.length, 1);
    driver.advanceTo(500);
    assert.equal(driver.starts.length, 1);

    driver.confirmStop(start);
    driver.advanceTo(540);
    assert.equal(driver.starts.length, 1);
    driver.advanceTo(560);
    assert.equal(driver.starts.length, 2);
    assert.ok(driver.starts[1].run > start.run);
  });

  test("the run end of a start that was not answered counts", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    driver.reply(driver.starts[0], { type: "unanswered" });

    driver.end(driver.starts[0], "done", 1);

    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
    assert.equal(driver.starts.length, 1);
  });

  test("an unresponsive endpoint's runs count as ended only when its lease has expired on the slowest allowed clock", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    driver.reply(driver.starts[0], { type: "accepted" });
    driver.addIdleEndpoint("e2");
    driver.advanceTo(100);
    driver.setUnresponsive("e1");

    driver.advanceTo(1_090);
    assert.equal(driver.starts.length, 1);
    driver.advanceTo(1_150);

    assert.equal(driver.starts.length, 2);
    assert.equal(driver.starts[1].endpointId, "e2");
  });

  test("runs from before a restart of the endpoint process count as ended", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    driver.advanceTo(10);
    driver.reply(driver.starts[0], { type: "accepted" });
    driver.advanceTo(20);

    driver.list("e1", { processStartMs: 2 });

    assert.equal(driver.starts.length, 2);
    assert.ok(driver.starts[1].run > driver.starts[0].run);
  });

  test("a start that is in flight when its endpoint process restarts does not count as ended", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j" });
    const [start] = driver.starts;

    driver.list(start.endpointId, { processStartMs: 2 });
    driver.advanceTo(20);
    assert.equal(driver.starts.length, 1);

    driver.reply(start, { type: "accepted" });
    driver.end(start, "done", 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("runs of a restarted endpoint process that is unresponsive count as ended when the lease has expired on its new clock", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(5_000);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "i" });
    driver.reply(driver.starts[0], { type: "accepted" });
    driver.advanceTo(5_100);
    driver.list("e1", { processStartMs: 2, clockMs: 10 });
    driver.setUnresponsive("e1");
    driver.advanceTo(6_400);

    assert.equal(driver.state.endpoints.get("e1")?.runs.size, 0);
  });

  test("a run does not count as missing if the listing that lacks it was requested before its start", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    driver.advanceTo(5);
    driver.reply(driver.starts[0], { type: "accepted" });

    driver.list("e1", { sentMs: 4, receivedMs: 6 });
    assert.equal(driver.starts.length, 1);
    driver.list("e1", { sentMs: 7, receivedMs: 8 });
    assert.equal(driver.starts.length, 2);
  });

  test("a job that ends stops its active runs", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", maxAttempts: 1, steps: [createStep(2)] });
    const [one, other] = driver.starts;
    driver.reply(one, { type: "accepted" });
    driver.reply(other, { type: "accepted" });

    driver.end(one, "failed", 1);

    assert.equal(driver.outcomes.get("j")?.type, "failed");
    assert.deepEqual(driver.stops.map(({ task }) => task), [other.task.name]);
  });

  test("a straggler is started again elsewhere once its stop has taken effect", () => {
    const driver = startBesideFreeEndpoint();
    const [{ task, run }] = driver.starts;

    driver.list("e1", {
      running: [{ task: task.name, run, progress: 0.02 }],
    });
    driver.advanceTo(820);
    assert.deepEqual(driver.stops.map((stop) => stop.task), [task.name]);
    driver.confirmStop(driver.starts[0]);
    driver.advanceTo(900);

    assert.equal(driver.starts.length, 2);
    assert.equal(driver.starts[1].endpointId, "e2");
  });

  test("a run with normal progress is not stopped", () => {
    const driver = startBesideFreeEndpoint();
    const [{ task, run }] = driver.starts;

    driver.list("e1", { running: [{ task: task.name, run, progress: 0.7 }] });
    driver.advanceTo(820);

    assert.equal(driver.stops.length, 0);
  });

  test("a task that was rejected for lack of capacity starts elsewhere", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    driver.addIdleEndpoint("e2");

    driver.reply(driver.starts[0], { type: "rejected", reason: "noRoom" });

    assert.equal(driver.starts.length, 2);
    assert.equal(driver.starts[1].endpointId, "e2");
  });

  test("a run adopted from an earlier scheduler counts as ended when its endpoint process restarts", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.advanceTo(10);
    driver.addEndpoint("e1");
    driver.list("e1", {
      running: [{ task: "j.0.0.0", run: 100_001, progress: 0 }],
    });
    driver.submit({ id: "j" }, {
      done: [],
      placed: [],
      isResubmitted: true,
      wasSolo: false,
    });
    assert.equal(driver.state.endpoints.get("e1")?.runs.size, 1);

    driver.advanceTo(100);
    driver.list("e1", { processStartMs: 2 });
    driver.advanceTo(2_000);
    driver.list("e1", { processStartMs: 2 });
    driver.advanceTo(2_020);

    assert.equal(driver.starts.length, 1);
  });
});
