import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import type { LinkEvents } from "../../src/vm/link_events.ts";
import type { OpenJobs } from "../../src/vm/open_jobs.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";

describe("a job that is resubmitted to a later scheduler", () => {
  let world: ReturnType<typeof createHostWorld>;
  let earlier: SchedulerHost;
  let jobs: OpenJobs;
  let outcomes: JobOutcome[] = [];
  /** Whether the VM receives the messages on placed tasks. */
  let receivesPlacements = true;

  beforeEach(async () => {
    world = createHostWorld({ workMs: 6_000 });
    outcomes = [];
    receivesPlacements = true;
    world.addEndpoint("e1", "a");
    world.addEndpoint("e2", "a");
    earlier = world.startHost("vm-1", { token: 100 });
    jobs = world.createJobs();
    await world.advance(600);
  });
  afterEach(() => world.stop());

  function linkTo(host: SchedulerHost) {
    const events: Partial<LinkEvents> = {
      ...jobs.events,
      placed: (task, endpointId) => {
        if (receivesPlacements) jobs.events.placed(task, endpointId);
      },
    };
    const link = world.link(host, { name: "vm-3", events });
    jobs.setLink(link);
    return link;
  }

  function submit(): void {
    jobs.submit(createOrder({ id: "j1" }), (end) => outcomes.push(end));
  }

  async function waitForStart(): Promise<void> {
    await world.advanceUntil(() =>
      world.calls.some(({ kind }) => kind === "start")
    );
  }

  function checkOnce(): void {
    assert.deepEqual(world.oracle.violations, []);
    assert.deepEqual(outcomes, [{ type: "completed" }]);
  }

  test("is submitted before the older jobs, which are late already", () => {
    for (const id of ["j1", "j2", "j3"]) {
      jobs.submit(createOrder({ id }), () => {});
    }
    const submitted: string[] = [];
    const link = world.link(earlier, { name: "vm-3", events: jobs.events });
    jobs.setLink({ ...link, submit: ({ id }) => submitted.push(id) });

    assert.deepEqual(submitted, ["j3", "j2", "j1"]);
  });

  test("runs once when a start of the earlier scheduler, which has stopped, is carried out late", async () => {
    world.setCallDelay(({ kind, host }) =>
      kind === "start" && host === "vm-1" ? 900 : 1
    );
    linkTo(earlier);
    submit();
    await waitForStart();
    earlier.stop();
    jobs.setLink(undefined);
    linkTo(world.startHost("vm-2", { token: 200 }));
    await world.advance(10_000);

    checkOnce();
  });

  test("runs once when the VM has not received the placements of its tasks", async () => {
    receivesPlacements = false;
    const link = linkTo(earlier);
    submit();
    await waitForStart();
    void link.leave();
    linkTo(world.startHost("vm-2", { token: 200 }));
    await world.advance(10_000);

    checkOnce();
  });

  test("runs once when the VM has not received the placements of its tasks and only the earlier scheduler reaches the endpoint", async () => {
    receivesPlacements = false;
    const link = linkTo(earlier);
    submit();
    await waitForStart();
    const firstEndpoint = world.calls.find(({ kind }) => kind === "start")
      ?.endpoint;
    world.setCallDelay(({ host, endpoint }) =>
      host === "vm-2" && endpoint === firstEndpoint ? undefined : 1
    );
    void link.leave();
    linkTo(world.startHost("vm-2", { token: 200 }));
    await world.advance(10_000);

    checkOnce();
  });

  test("runs once when the earlier scheduler has lost the VM and is the only one that reaches the endpoint", async () => {
    const link = linkTo(earlier);
    submit();
    await waitForStart();
    const firstEndpoint = world.calls.find(({ kind }) => kind === "start")
      ?.endpoint;
    world.setCallDelay(({ host, endpoint }) =>
      host === "vm-2" && endpoint === firstEndpoint ? undefined : 1
    );
    // After this time without reports the earlier scheduler treats the VM as lost.
    await world.advance(600);
    link.close();
    linkTo(world.startHost("vm-2", { token: 200 }));
    await world.advance(10_000);

    checkOnce();
  });

  test("runs once when its endpoint becomes unresponsive after a listing that also shows a foreign run", async () => {
    linkTo(earlier);
    submit();
    await waitForStart();
    const firstEndpoint = world.calls.find(({ kind }) => kind === "start")
      ?.endpoint;
    // The scheduler chooses the fuller of two equal endpoints, so this job runs beside j1. Its VM does not return.
    const other = world.link(earlier, { name: "vm-4", events: {} });
    const progress = {
      isResubmitted: false,
      wasSolo: false,
      done: [],
      placed: [],
    };
    other.submit(createOrder({ id: "j2" }), progress);
    await world.advance(50);
    earlier.stop();
    jobs.setLink(undefined);
    linkTo(world.startHost("vm-2", { token: 200 }));
    await world.advance(20);
    world.setCallDelay(({ endpoint }) =>
      endpoint === firstEndpoint ? undefined : 1
    );
    await world.advance(3_000);

    const starts = world.calls.filter(({ kind }) => kind === "start");
    assert.equal(starts[1].endpoint, firstEndpoint);
    assert.equal(starts.at(-1)?.task, "j1.0.0.0");
    assert.equal(starts.length, 3);
    assert.deepEqual(world.oracle.violations, []);
  });
});
