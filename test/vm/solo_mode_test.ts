import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import type { OpenJobs } from "../../src/vm/open_jobs.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import {
  createOrder,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const WORK_MS = 3_000;

describe("a VM that was in solo mode and is linked again", () => {
  let world: ReturnType<typeof createHostWorld>;
  let scheduler: SchedulerHost;
  let jobs: OpenJobs;
  let outcomes: JobOutcome[] = [];

  beforeEach(async () => {
    world = createHostWorld({ workMs: WORK_MS });
    outcomes = [];
    world.addEndpoint("lvl-1", "lvl");
    world.addEndpoint("mtl-1", "mtl");
    scheduler = world.startHost("mtl-1", { token: 1_800 });
    jobs = world.createJobs();
    await world.advance(600);
  });
  afterEach(() => world.stop());

  function submit(id: string): void {
    const steps = [createStep(1, { estimateMs: WORK_MS })];
    const order = createOrder({ id, steps });
    jobs.submit(order, (outcome) => outcomes.push(outcome));
  }

  function linkTo(host: SchedulerHost) {
    const { events } = jobs;
    const link = world.link(host, { name: "lvl-4", events });
    jobs.setLink(link);
    return link;
  }

  function startSolo(
    { endpoint = "lvl-1", token = 1_804 } = {},
  ): SchedulerHost {
    const solo = world.startHost("lvl-4", {
      token,
      soloEndpointIds: [endpoint],
    });
    const { events } = jobs;
    jobs.setLink(world.link(solo, { name: "lvl-4", events, isSolo: true }));
    return solo;
  }

  function stopSolo(solo: SchedulerHost): void {
    solo.stop();
    jobs.setLink(undefined);
  }

  /** Waits until the scheduler has just polled the endpoint that the VM will use. */
  async function waitForListing(): Promise<void> {
    await world.advanceUntil(() => {
      const last = world.calls.findLast(({ host, endpoint }) =>
        host === "mtl-1" && endpoint === "lvl-1"
      );
      return last !== undefined && world.readNow() - last.atMs === 5;
    });
  }

  function listStarts(): string[] {
    return world.calls.filter(({ kind }) => kind === "start")
      .map(({ endpoint }) => endpoint);
  }

  test("a task that a long-polled listing shows as running at the VM's endpoint is not started again while it runs", async () => {
    await waitForListing();
    const solo = startSolo();
    submit("j1");
    await world.advance(300);
    // The start of a second job extends the endpoint's lease.
    submit("j2");
    await world.advance(20);
    stopSolo(solo);
    linkTo(scheduler);
    await world.advance(10_000);

    assert.deepEqual(world.oracle.violations, []);
    assert.deepEqual(outcomes.map(({ type }) => type), [
      "completed",
      "completed",
    ]);
  });

  test("a task started in solo mode is not started a second time once the scheduler reclaims the endpoint", async () => {
    const solo = startSolo();
    submit("j1");
    await world.advance(300);
    stopSolo(solo);
    linkTo(scheduler);
    await world.advanceUntil(() =>
      scheduler.listReclaimableDataCentres().has("lvl")
    );
    scheduler.beginEpoch(19);
    await world.advance(10_000);

    assert.deepEqual(world.oracle.violations, []);
    assert.deepEqual(outcomes, [{ type: "completed" }]);
  });

  for (const isReclaimed of [false, true]) {
    const when = isReclaimed ? "reclaimed" : "not reclaimed";
    test(`a start sent in solo mode that is carried out late at an endpoint that is ${when} is the only run`, async () => {
      world.setCallDelay(({ kind, host }) =>
        kind === "start" && host === "lvl-4" ? 900 : 1
      );
      const solo = startSolo();
      submit("j1");
      await world.advanceUntil(() => listStarts().length > 0);
      stopSolo(solo);
      linkTo(scheduler);
      if (isReclaimed) {
        await world.advanceUntil(() =>
          scheduler.listReclaimableDataCentres().has("lvl")
        );
        scheduler.beginEpoch(19);
      }
      await world.advance(10_000);

      assert.deepEqual(world.oracle.violations, []);
      assert.deepEqual(outcomes, [{ type: "completed" }]);
    });
  }

  test("starts nothing beside a late start of its first solo mode when it re-enters solo mode with the same fencing token at another endpoint", async () => {
    world.setCallDelay(({ kind, atMs }) =>
      kind === "start" && atMs < 2_000 ? 900 : 1
    );
    world.addEndpoint("lvl-2", "lvl");
    const first = startSolo();
    submit("j1");
    await world.advanceUntil(() => listStarts().length > 0);
    assert.ok(world.readNow() < 2_000);
    stopSolo(first);
    const link = linkTo(scheduler);
    await world.advance(50);
    jobs.setLink(undefined);
    link.close();
    await world.advance(700);
    startSolo({ endpoint: "lvl-2" });
    await world.advance(12_000);

    assert.deepEqual(world.oracle.violations, []);
    assert.equal(listStarts().length, 1);
    assert.deepEqual(outcomes, [{ type: "failed", reason: "outOfTime" }]);
  });

  test("a task that the scheduler started before solo mode is not started a second time after it", async () => {
    const link = linkTo(scheduler);
    submit("j1");
    submit("j2");
    submit("j3");
    await world.advance(100);
    jobs.setLink(undefined);
    link.close();
    await world.advance(700);
    const solo = startSolo();
    await world.advance(600);
    stopSolo(solo);
    linkTo(scheduler);
    await world.advance(10_000);

    assert.deepEqual(world.oracle.violations, []);
  });

  test("a task whose run a later scheduler had seen before solo mode is not started a second time", async () => {
    linkTo(scheduler);
    submit("j1");
    await world.advance(100);
    assert.deepEqual(listStarts(), ["lvl-1"]);
    scheduler.stop();
    jobs.setLink(undefined);
    const next = world.startHost("mtl-2", { token: 1_900 });
    await world.advance(50);
    const solo = startSolo({ token: 1_904 });
    await world.advance(320);
    stopSolo(solo);
    linkTo(next);
    await world.advance(10_000);

    assert.deepEqual(world.oracle.violations, []);
  });

  test("a job that runs in solo mode and that another VM has submitted meanwhile is not started a second time", async () => {
    const solo = startSolo();
    submit("j1");
    await world.advance(300);
    // The caller resends j1 to a linked VM while there is no free capacity.
    const other = world.link(scheduler, { name: "mtl-2", events: {} });
    const newJobProgress = {
      isResubmitted: false,
      wasSolo: false,
      done: [],
      placed: [],
    };
    other.submit(createOrder({ id: "f1" }), newJobProgress);
    other.submit(createOrder({ id: "f2" }), newJobProgress);
    await world.advance(100);
    other.submit(createOrder({ id: "j1" }), newJobProgress);
    await world.advance(50);
    stopSolo(solo);
    linkTo(scheduler);
    await world.advance(20);
    other.abandon("f1");
    await world.advance(10_000);

    assert.deepEqual(world.oracle.violations, []);
  });
});
