import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { canStartLateJob } from "../../src/decide/can_start_late_job.ts";
import { computeSchedulingRank } from "../../src/decide/compute_scheduling_rank.ts";
import { isLikelyLate } from "../../src/decide/is_likely_late.ts";
import type { SchedulerState } from "../../src/scheduler/scheduler_state.ts";
import { createRandom } from "../../src/utils/create_random.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

describe("placing tasks", () => {
  test("tasks start only where the resources they need are free", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");

    driver.submit({ id: "j", steps: [createStep(6)] });

    assert.equal(driver.starts.length, 4);
    for (const { used, row } of driver.state.endpoints.values()) {
      assert.ok(used.cpu <= row.room.cpu);
    }
  });

  test("nothing starts on an endpoint that has not listed its runs", () => {
    const driver = createSchedulerDriver();
    driver.addEndpoint("e1");

    driver.submit({ id: "j" });
    assert.equal(driver.starts.length, 0);

    driver.list("e1");
    assert.equal(driver.starts.length, 1);
  });

  test("a job is completed when all its tasks are done", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j", steps: [createStep(2)] });
    const [one, other] = driver.starts;

    driver.end(one, "done", 1);
    assert.equal(driver.outcomes.has("j"), false);
    driver.end(other, "done", 2);

    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a step waits for the steps before it", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({
      id: "j",
      steps: [createStep(1), createStep(1, { after: [0] })],
    });
    assert.equal(driver.starts.length, 1);

    driver.end(driver.starts[0], "done", 1);

    assert.equal(driver.starts.length, 2);
    assert.equal(driver.starts[1].task.step, 1);
  });

  test("nothing starts on a draining endpoint or on one that left the store's list", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.updateRow("e1", { isDraining: true });
    driver.dropRow("e2");

    driver.submit({ id: "j" });

    assert.equal(driver.starts.length, 0);
  });

  test("required labels and the limit of a step's tasks per endpoint are respected", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("plain");
    driver.addIdleEndpoint("labelled", { labels: ["gpu"] });
    const step = createStep(2, { requiredLabel: "gpu", mostPerEndpoint: 1 });

    driver.submit({ id: "j", steps: [step] });

    assert.equal(driver.starts.length, 1);
    assert.equal(driver.starts[0].endpointId, "labelled");
  });

  test("a job that fits no endpoint is refused at once", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    const room = { cpu: 99_000, memoryMb: 1, gpus: 0 };

    driver.submit({ id: "j", steps: [createStep(1, { room })] });

    const outcome = driver.outcomes.get("j");
    assert.equal(outcome?.type, "refused");
    assert.equal(outcome?.type === "refused" && outcome.reason, "neverFits");
  });

  test("a job that is submitted again joins the known job", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    driver.submit({ id: "j" });
    assert.equal(driver.starts.length, 1);

    driver.end(driver.starts[0], "done", 1);
    driver.outcomes.clear();
    driver.submit({ id: "j" });

    assert.equal(driver.starts.length, 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a failing task fails its job only when its attempts are used up", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.submit({ id: "j", maxAttempts: 2 });

    driver.end(driver.starts[0], "failed", 1);
    assert.equal(driver.outcomes.has("j"), false);
    assert.notEqual(
      driver.starts[1].endpointId,
      driver.starts[0].endpointId,
    );
    driver.end(driver.starts[1], "failed", 1);

    assert.deepEqual(driver.outcomes.get("j"), {
      type: "failed",
      reason: "attemptsUsed",
    });
  });

  test("a task that failed on the only endpoint is retried there", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });

    driver.end(driver.starts[0], "failed", 1);

    assert.equal(driver.starts.length, 2);
  });

  test("an endpoint with consecutive failures is in backoff", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j1", maxAttempts: 1 });
    driver.end(driver.starts[0], "failed", 1);
    driver.submit({ id: "j2", maxAttempts: 1 });
    driver.end(driver.starts[1], "failed", 2);

    driver.submit({ id: "j3" });

    assert.equal(driver.starts.length, 2);
  });

  test("of many waiting jobs, the same ones start as with a naive scan of all jobs in rank order", () => {
    for (let seed = 1; seed <= 30; seed += 1) {
      const random = createRandom(seed);
      const driver = createSchedulerDriver();
      for (let index = 0; index < 40; index += 1) {
        driver.submit({
          id: `j${index}`,
          priority: Math.floor(random() * 3),
          ageMs: Math.floor(random() * 4_000),
          steps: [createStep(1, {
            room: {
              cpu: 1_000 + Math.floor(random() * 9) * 1_000,
              memoryMb: 1,
              gpus: 0,
            },
          })],
        });
      }
      const expected = placeNaively(driver.state, 16_000);
      driver.addIdleEndpoint("e1");

      assert.deepEqual(
        driver.starts.map(({ task }) => task.job.order.id),
        expected,
        `seed ${seed}`,
      );
    }
  });
});

/** Naive reference implementation: sorts all waiting jobs by rank and starts each that fits the free capacity of one endpoint. */
function placeNaively(state: SchedulerState, cpu: number): string[] {
  const startedIds: string[] = [];
  const jobs = [...state.waiting].sort((one, other) =>
    computeSchedulingRank(one, 0) - computeSchedulingRank(other, 0)
  );
  let free = cpu;
  for (const job of jobs) {
    const need = job.order.steps[0].room.cpu;
    if (need > free) continue;
    if (isLikelyLate(job, 0) && !canStartLateJob({ free, total: cpu })) {
      continue;
    }
    free -= need;
    startedIds.push(job.order.id);
  }
  return startedIds;
}
