import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import {
  createOrder,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const ORDER = createOrder({
  id: "j1",
  stretch: 10,
  steps: [createStep(1, { estimateMs: 3_000 })],
});

describe("a job that was cancelled and is submitted again", () => {
  let world: ReturnType<typeof createHostWorld>;
  let scheduler: SchedulerHost;

  beforeEach(async () => {
    world = createHostWorld({ workMs: 3_000 });
    world.addEndpoint("e1", "a");
    scheduler = world.startHost("vm-1", { token: 100 });
    await world.advance(600);
  });
  afterEach(() => {
    world.stop();
  });

  // Guards against a cancelled job that runs: after the answer to the cancelled request its caller may resend it.
  test("starts no more tasks", async () => {
    const jobs = world.createJobs();
    const { events } = jobs;
    jobs.setLink(world.link(scheduler, { name: "vm-1", events }));
    const outcomes: JobOutcome[] = [];
    jobs.submit(ORDER, (outcome) => outcomes.push(outcome));
    await world.advance(100);
    assert.ok(jobs.cancel("j1"));
    await world.advance(1_300);
    jobs.submit(ORDER, (outcome) => outcomes.push(outcome));
    await world.advance(100);

    const starts = world.calls.filter(({ kind }) => kind === "start");
    assert.equal(starts.length, 1);
    assert.equal(outcomes.length, 2);
  });
});
