import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import type { KnownProgress } from "../../src/scheduler/known_progress.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import {
  createOrder,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import { SCHEDULER_LIMITS } from "../fixtures/scheduler_limits.ts";

const NEW_JOB_PROGRESS: KnownProgress = {
  isResubmitted: false,
  wasSolo: false,
  done: [],
  placed: [],
};
const ORDER = createOrder({
  id: "j1",
  stretch: 10,
  steps: [createStep(1, { estimateMs: 3_000 })],
});
/** Time from a network cut until the scheduler treats a VM as lost, in ms. */
const VM_LOST_AFTER_MS = 600;
/** Time from a network cut until a VM enters solo mode, in ms: 350 ms until the link is lost, and 700 ms without a link. */
const SOLO_AFTER_MS = 1_050;

describe("a job that its caller resends after the resend interval", () => {
  let world: ReturnType<typeof createHostWorld>;
  let scheduler: SchedulerHost;

  beforeEach(async () => {
    world = createHostWorld({ workMs: 3_000 });
    world.addEndpoint("a-1", "a");
    world.addEndpoint("b-1", "b");
    scheduler = world.startHost("a-1", { token: 100 });
    await world.advance(600);
  });
  afterEach(() => world.stop());

  /** Advances the clock; meanwhile the scheduler's heartbeats reach the store. */
  async function wait(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      scheduler.confirmRole(world.readNow());
      await world.advance(10);
    }
  }

  // Guards against a task that runs twice: the VM is cut off and cannot abandon the job at the scheduler when its caller disconnects, and is in solo mode when the caller resends the job.
  test("does not run twice when the same VM was cut off meanwhile and is in solo mode", async () => {
    const link = world.link(scheduler, { name: "b-1", events: {} });
    link.submit(ORDER, NEW_JOB_PROGRESS);
    await wait(100);
    // The VM is cut off here, and its caller disconnects.
    await wait(VM_LOST_AFTER_MS);
    link.handleLost("silent");
    await wait(SOLO_AFTER_MS - VM_LOST_AFTER_MS);
    const solo = world.startHost("b-1", {
      token: 101,
      soloEndpointIds: ["b-1"],
    });
    const soloLink = world.link(solo, {
      name: "b-1",
      events: {},
      isSolo: true,
    });
    await wait(SCHEDULER_LIMITS.resendMs - SOLO_AFTER_MS);
    soloLink.submit(ORDER, NEW_JOB_PROGRESS);
    await wait(5_000);

    assert.deepEqual(world.oracle.violations, []);
  });

  // Guards against a task that runs twice: the caller resends the job to a solo VM that was cut off before the job was submitted, in the second case for longer than the scheduler lists lost VMs.
  for (const lostMs of [1_000, 16_000]) {
    test(`does not run twice at a solo VM that was lost ${lostMs} ms before`, async () => {
      world.link(scheduler, { name: "b-1", events: {} }).close();
      await wait(700);
      const solo = world.startHost("b-1", {
        token: 101,
        soloEndpointIds: ["b-1"],
      });
      const soloLink = world.link(solo, {
        name: "b-1",
        events: {},
        isSolo: true,
      });
      await wait(lostMs - 700);
      const link = world.link(scheduler, { name: "a-2", events: {} });
      link.submit(ORDER, NEW_JOB_PROGRESS);
      await wait(100);
      link.close();
      await wait(SCHEDULER_LIMITS.resendMs);
      soloLink.submit(ORDER, NEW_JOB_PROGRESS);
      await wait(5_000);

      assert.deepEqual(world.oracle.violations, []);
    });
  }
});
