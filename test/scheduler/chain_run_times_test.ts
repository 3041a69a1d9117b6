import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRunWorld } from "../fixtures/create_run_world.ts";
import { createStep } from "../fixtures/create_scheduler_driver.ts";

describe("runs of jobs that are chains of steps", () => {
  // The time of a run was compared with that of its job's whole chain, so that
  // endpoints seemed fast and the route's runs long.
  test("a run is compared with its own step, not with the job's critical path", () => {
    const world = createRunWorld(["e1"]);
    const { driver } = world;
    const steps = [0, 1, 2].map((index) =>
      createStep(1, { estimateMs: 300, after: index ? [index - 1] : [] })
    );
    for (let job = 0; job < 12; job += 1) {
      driver.submit({ id: `j${job}`, steps });
      for (const step of [0, 1, 2]) {
        world.run(driver.starts[3 * job + step], 300);
      }
    }

    const [slowness] = world.readSlowness();
    assert.ok(Math.abs(slowness - 1) < 0.01);
    const { meanMs = 0 } = driver.state.routeStats.get("proofs") ?? {};
    assert.ok(Math.abs(meanMs - 300) < 3);
  });

  test("a hanging run of a chain is moved as soon as that of a single step", () => {
    const world = createRunWorld(["e1"]);
    const { driver } = world;
    const steps = Array.from(
      { length: 8 },
      (_, index) =>
        createStep(1, { estimateMs: 300, after: index ? [index - 1] : [] }),
    );
    driver.submit({ id: "j", steps, stretch: 1.2 });
    const [start] = driver.starts;
    driver.reply(start, { type: "accepted" });
    driver.addIdleEndpoint("e2");
    world.passMs(200);
    driver.list("e1", {
      clockMs: world.readNow(),
      running: [{ task: start.task.name, run: start.run, progress: 0 }],
    });
    world.passMs(20);

    assert.deepEqual(driver.stops.map(({ run }) => run), [start.run]);
  });
});
