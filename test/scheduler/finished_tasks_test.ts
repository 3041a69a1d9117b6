import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

/** Runs a stored job of two tasks, of which the first is started again at `e2` while `e1` is away. */
function startAgainElsewhere(options: { isSaved: boolean }) {
  const driver = createSchedulerDriver();
  driver.addIdleEndpoint("e1", { room: createRoom(6_800) });
  driver.addIdleEndpoint("e3", { room: createRoom(6_800) });
  driver.submitStored({ id: "j", steps: [createStep(2)] });
  driver.advanceTo(10);
  for (const start of driver.starts) driver.reply(start, { type: "accepted" });
  const first = driver.starts.find(({ endpointId }) => endpointId === "e1");
  assert.ok(first);
  driver.advanceTo(100);
  driver.setUnresponsive("e1");
  driver.advanceTo(1_150);
  driver.addIdleEndpoint("e2");
  driver.advanceTo(1_170);
  driver.confirmSaved();
  driver.advanceTo(1_190);
  if (!options.isSaved) return { driver, first, second: undefined };
  driver.confirmSaved();
  driver.advanceTo(1_210);
  const second = driver.starts.find(({ endpointId }) => endpointId === "e2");
  assert.equal(second?.task, first.task);
  return { driver, first, second };
}

function createRoom(cpu: number) {
  return { cpu, memoryMb: 64_000, gpus: 0 };
}

describe("a task that is done", () => {
  // Two overlapping cuts of endpoints: the job was shown as completed while other tasks ran.
  test("stays done when a start of it elsewhere is not answered, and counts once", () => {
    const { driver, first, second } = startAgainElsewhere({ isSaved: true });
    assert.ok(second);
    driver.list("e1", {
      ended: [{
        number: 1,
        task: first.task.name,
        run: first.run,
        how: "done",
      }],
    });
    driver.reply(second, { type: "unanswered" });
    driver.confirmStop(second);
    driver.advanceTo(1_400);
    driver.list("e2");
    driver.advanceTo(1_500);
    driver.confirmSaved();
    driver.advanceTo(1_600);

    assert.equal(first.task.phase, "done");
    assert.equal(driver.starts.length, 3);
    assert.equal(driver.state.jobs.get("j")?.openTaskCount, 1);
    assert.equal(driver.outcomes.has("j"), false);
    assert.ok(driver.stops.some(({ run }) => run === second.run));
  });

  // The same through the progress of a VM that ran the job in solo mode.
  test("stays done when a VM brings its end and the own start is not answered", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", steps: [createStep(2)] });
    const [own, other] = driver.starts;
    driver.submit({ id: "j", steps: [createStep(2)] }, {
      done: [own.task.name],
      placed: [],
      isResubmitted: true,
      wasSolo: true,
    });
    driver.reply(own, { type: "unanswered" });
    driver.confirmStop(own);
    driver.advanceTo(200);

    assert.equal(own.task.phase, "done");
    assert.equal(driver.outcomes.has("j"), false);
    driver.end(other, "done", 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  // The start waited for the store while the end of the earlier run was listed.
  test("is not started by a start that the store has counted since", () => {
    const { driver, first } = startAgainElsewhere({ isSaved: false });
    assert.equal(driver.state.countedStarts.size, 1);
    driver.list("e1", {
      ended: [{
        number: 1,
        task: first.task.name,
        run: first.run,
        how: "done",
      }],
    });
    driver.confirmSaved();
    driver.advanceTo(1_300);

    assert.equal(driver.starts.length, 2);
    assert.equal(driver.state.countedStarts.size, 0);
    assert.equal(driver.state.endpoints.get("e2")?.runs.size, 0);
  });
});
