import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import { SCHEDULER_LIMITS } from "../fixtures/scheduler_limits.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";

/** Interval between two heartbeats of the later scheduler, in ms. */
const HEARTBEAT_INTERVAL_MS = 100;
/** Run time of a task, in ms; longer than any wait in these tests. */
const WORK_MS = 6_000;

/** Guards against a task that runs twice: a scheduler whose role is still exclusive keeps a lost VM's job while an earlier scheduler, to which the VM returns, starts it again. */
describe("a job whose VM returns to an earlier scheduler", () => {
  let world: ReturnType<typeof createHostWorld>;
  let jobs: ReturnType<ReturnType<typeof createHostWorld>["createJobs"]>;
  let earlier: SchedulerHost;
  let later: SchedulerHost;
  /** Ids of endpoints that the later scheduler cannot reach. */
  let unreachable: Set<string>;

  beforeEach(async () => {
    world = createHostWorld({ workMs: WORK_MS });
    jobs = world.createJobs();
    unreachable = new Set(["y"]);
    world.setCallDelay(({ host, endpoint }) =>
      host === "later" && unreachable.has(endpoint) ? undefined : 1
    );
    for (const id of ["x", "y"]) world.addEndpoint(id, "a");
    earlier = world.startHost("earlier", { token: 1_800 });
    await world.advance(1_000);
    later = world.startHost("later", { token: 1_900 });
    await wait(1_000);
  });
  afterEach(() => world.stop());

  /** Advances the clock; meanwhile the later scheduler's heartbeats reach the store. */
  async function wait(ms: number): Promise<void> {
    for (
      let elapsedMs = 0;
      elapsedMs < ms;
      elapsedMs += HEARTBEAT_INTERVAL_MS
    ) {
      later.confirmRole(world.readNow());
      await world.advance(Math.min(HEARTBEAT_INTERVAL_MS, ms - elapsedMs));
    }
  }

  function linkTo(host: SchedulerHost) {
    const link = world.link(host, { name: "vm", events: jobs.events });
    jobs.setLink(link);
    return link;
  }

  function leave(link: ReturnType<typeof linkTo>): void {
    jobs.setLink(undefined);
    link.handleLost("closed");
  }

  test("does not run at both schedulers when the later scheduler loses the endpoint just before it abandons the job", async () => {
    const link = linkTo(later);
    jobs.submit(createOrder({ id: "j" }), () => {});
    await wait(1_000);
    leave(link);
    await wait(50);
    linkTo(earlier);
    await wait(1_900);
    unreachable.add("x");
    await wait(3_000);

    assert.deepEqual(world.oracle.violations, []);
  });

  test("does not run at both schedulers when the VM was killed and the caller resends the job to the earlier scheduler", async () => {
    const link = linkTo(later);
    jobs.submit(createOrder({ id: "j" }), () => {});
    await wait(1_000);
    leave(link);
    await wait(SCHEDULER_LIMITS.resendMs);
    const otherJobs = world.createJobs();
    const { events } = otherJobs;
    otherJobs.setLink(world.link(earlier, { name: "other-vm", events }));
    otherJobs.submit(createOrder({ id: "j" }), () => {});
    await wait(2_000);

    assert.deepEqual(world.oracle.violations, []);
  });

  test("does not run at both schedulers when the VM changes between them several times", async () => {
    const first = linkTo(earlier);
    jobs.submit(createOrder({ id: "j" }), () => {});
    await wait(300);
    leave(first);
    const second = linkTo(later);
    await wait(400);
    leave(second);
    const third = linkTo(earlier);
    await wait(1_700);
    leave(third);
    linkTo(later);
    await wait(3_000);

    assert.deepEqual(world.oracle.violations, []);
  });
});
