import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  createOrder,
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import { applyStartReply } from "../../src/scheduler/apply_start_reply.ts";

const RUN_MS = 100;
/** How much later than they arrive a busy scheduler reads listings, in ms. */
const READING_DELAY_MS = 500;

/** Starts a task of 100 ms at the only endpoint and confirms the start at 10 ms of both clocks. */
function startRun() {
  const driver = createSchedulerDriver();
  driver.addIdleEndpoint("e1");
  driver.submit(
    createOrder({
      id: "j1",
      steps: [createStep(1, { estimateMs: RUN_MS })],
    }),
  );
  const [start] = driver.starts;
  driver.advanceTo(10);
  applyStartReply(driver.state, start, {
    reply: { type: "accepted", clockMs: 10 },
    nowMs: 10,
  });
  const endpoint = driver.state.endpoints.get("e1");
  return { driver, start, readSlowness: () => endpoint?.slowness };
}

describe("a listing that a busy scheduler reads late", () => {
  test("does not make its endpoint count as slow while a task runs", () => {
    const { driver, start, readSlowness } = startRun();
    const running = [{ task: start.task.name, run: start.run, progress: 0.5 }];
    driver.advanceTo(60 + READING_DELAY_MS);
    driver.list("e1", { clockMs: 60, running });

    assert.equal(readSlowness(), 1);
  });

  test("does not count as run time when the task has ended", () => {
    const { driver, start, readSlowness } = startRun();
    driver.advanceTo(10 + RUN_MS + READING_DELAY_MS);
    driver.list("e1", {
      clockMs: 10 + RUN_MS,
      ended: [{
        number: 1,
        task: start.task.name,
        run: start.run,
        how: "done",
      }],
    });

    assert.equal(readSlowness(), 1);
  });

  test("still shows a slow endpoint by that endpoint's clock", () => {
    const { driver, start, readSlowness } = startRun();
    const running = [{ task: start.task.name, run: start.run, progress: 0.1 }];
    driver.advanceTo(110);
    driver.list("e1", { clockMs: 110, running });

    assert.ok(Number(readSlowness()) > 2);
  });
});
