import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import type { KnownProgress } from "../../src/scheduler/known_progress.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";
import { SCHEDULER_LIMITS } from "../fixtures/scheduler_limits.ts";

const NEW_JOB_PROGRESS: KnownProgress = {
  isResubmitted: false,
  wasSolo: false,
  done: [],
  placed: [],
};

describe("a job that its caller resends to a solo VM", () => {
  let world: ReturnType<typeof createHostWorld>;
  afterEach(() => world.stop());

  for (const isGrouped of [true, false]) {
    const where = isGrouped ? "one of several groups" : "the one group";
    test(`does not run twice after its first VM in ${where} was killed`, async () => {
      world = createHostWorld({ workMs: 3_000 });
      world.addEndpoint("a-1", "a");
      world.addEndpoint("b-1", "b");
      const scheduler = world.startHost("a-1", {
        token: 100,
        hasOtherGroups: isGrouped,
      });
      await world.advance(600);
      world.link(scheduler, { name: "b-1", events: {} }).close();
      await world.advance(700);
      const solo = world.startHost("b-1", {
        token: 101,
        soloEndpointIds: ["b-1"],
      });
      const events = {};
      const soloLink = world.link(solo, { name: "b-1", events, isSolo: true });
      await world.advance(300);
      const link = world.link(scheduler, { name: "a-2", events: {} });
      link.submit(createOrder({ id: "j1" }), NEW_JOB_PROGRESS);
      await world.advance(100);
      link.close();
      await world.advance(SCHEDULER_LIMITS.resendMs);
      soloLink.submit(createOrder({ id: "j1" }), NEW_JOB_PROGRESS);
      await world.advance(5_000);

      assert.deepEqual(world.oracle.violations, []);
    });
  }
});
