import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRunWorld } from "../fixtures/create_run_world.ts";
import { createStep } from "../fixtures/create_scheduler_driver.ts";

/** Largest factor by which an endpoint's learned speed may differ from the average. */
const MAX_SLOWNESS = 8;

describe("jobs whose run time is not known", () => {
  // A run without an estimate made its endpoint infinitely slow, so that
  // nothing was started there any more.
  test("a run without an estimate does not take its endpoint out of use", () => {
    for (const isStored of [false, true]) {
      const world = createRunWorld(["e1"]);
      const { driver } = world;
      const submit = isStored ? driver.submitStored : driver.submit;
      submit({ id: "j", steps: [createStep(1, { estimateMs: 0 })] });
      world.run(driver.starts[0], 900);
      submit({ id: "k", steps: [createStep(1, { estimateMs: 900 })] });

      assert.equal(driver.starts.length, 2);
      assert.deepEqual(world.readSlowness(), [1]);
    }
  });

  // The mean of such a route became 0, which all later jobs were compared with.
  test("what such runs take becomes the route's run time", () => {
    const world = createRunWorld(["e1"]);
    const { driver } = world;
    const steps = [createStep(1, { estimateMs: 0 })];
    for (let job = 0; job < 12; job += 1) {
      driver.submit({ id: `j${job}`, steps });
      world.run(driver.starts[job], 900);
    }

    assert.equal(driver.state.routeStats.get("proofs")?.meanMs, 900);
    assert.deepEqual(world.readSlowness(), [1]);
  });

  test("estimates that are far off do not make an endpoint's speed leave its bounds", () => {
    for (const estimateMs of [0.001, 1, 3_600_000]) {
      const world = createRunWorld(["e1"]);
      const { driver } = world;
      const steps = [createStep(1, { estimateMs })];
      for (let job = 0; job < 20; job += 1) {
        driver.submit({ id: `j${job}`, steps, stretch: 1e9 });
        world.run(driver.starts[job], 900);
        const [slowness] = world.readSlowness();
        assert.ok(slowness <= MAX_SLOWNESS && slowness >= 1 / MAX_SLOWNESS);
      }
    }
  });

  // Without an estimate a job counted as one of no run time, and was refused
  // as out of time after three times the caller's slack.
  test("a best-effort job without an estimate waits for a free endpoint", () => {
    const world = createRunWorld(["e1"]);
    const { driver } = world;
    driver.submit({ id: "full", steps: [createStep(2)] });
    driver.submit({ id: "j", steps: [createStep(1, { estimateMs: 0 })] });
    world.passMs(800);

    assert.equal(driver.outcomes.get("j"), undefined);
  });
});
