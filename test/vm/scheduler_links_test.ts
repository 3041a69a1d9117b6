import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import type { KnownProgress } from "../../src/scheduler/known_progress.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";

const NEW_JOB_PROGRESS: KnownProgress = {
  isResubmitted: false,
  wasSolo: false,
  done: [],
  placed: [],
};

describe("links of a scheduler", () => {
  let world: ReturnType<typeof createHostWorld>;
  let host: SchedulerHost;

  beforeEach(async () => {
    world = createHostWorld({ workMs: 8_000 });
    world.addEndpoint("e1", "a");
    host = world.startHost("vm-1", { token: 100 });
    await world.advance(600);
  });
  afterEach(() => world.stop());

  function listRuns(): string[] {
    return world.calls.filter(({ kind }) => kind === "start")
      .map(({ endpoint }) => endpoint);
  }

  test("a job that a VM submits after it has left is not run", async () => {
    const link = world.link(host, { name: "vm-2", events: {} });
    void link.leave();
    link.submit(createOrder({ id: "j1" }), NEW_JOB_PROGRESS);
    await world.advance(500);

    assert.deepEqual(listRuns(), []);
  });

  test("a job that a VM does not resubmit over its next link is stopped before its caller resends it", async () => {
    const first = world.link(host, { name: "vm-2", events: {} });
    first.submit(createOrder({ id: "j1" }), NEW_JOB_PROGRESS);
    await world.advance(100);
    // The scheduler was not notified of the end of the first link.
    world.link(host, { name: "vm-2", events: {} });
    await world.advance(2_500);

    assert.deepEqual(listRuns(), ["e1"]);
    assert.equal(world.oracle.hasEnded("j1.0.0.0", "stopped"), true);
  });

  test("a job that a VM resubmits over its next link continues", async () => {
    const first = world.link(host, { name: "vm-2", events: {} });
    first.submit(createOrder({ id: "j1" }), NEW_JOB_PROGRESS);
    await world.advance(100);
    const next = world.link(host, { name: "vm-2", events: {} });
    next.submit(createOrder({ id: "j1" }), {
      ...NEW_JOB_PROGRESS,
      isResubmitted: true,
    });
    first.close();
    await world.advance(2_500);

    assert.deepEqual(listRuns(), ["e1"]);
    assert.equal(world.oracle.hasEnded("j1.0.0.0", "stopped"), false);
  });
});
