import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import type { JobOrder } from "../../src/scheduler/job_order.ts";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import type { KnownProgress } from "../../src/scheduler/known_progress.ts";
import { createGuestLinks } from "../../src/vm/create_guest_links.ts";
import { createTicker } from "../../src/vm/create_ticker.ts";
import { createOpenJobs } from "../../src/vm/create_open_jobs.ts";
import type { LinkEvents } from "../../src/vm/link_events.ts";
import type { openRemoteLink } from "../../src/vm/open_remote_link.ts";
import type { SchedulerLink } from "../../src/vm/scheduler_link.ts";
import type { SchedulerRow } from "../../src/vm/scheduler_row.ts";
import type { VmReport } from "../../src/vm/vm_report.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";
import { createVmReport } from "../fixtures/create_vm_report.ts";

type Submission = { order: JobOrder; progress: KnownProgress };

/** Creates a link that records the jobs submitted over it. */
function createLink(epoch: number) {
  const submissions: Submission[] = [];
  const abandoned: string[] = [];
  let isClosed = false;
  const link: SchedulerLink = {
    epoch,
    isSolo: false,
    submit: (order, progress) => submissions.push({ order, progress }),
    abandon: (id) => abandoned.push(id),
    leave: () => Promise.resolve(),
    close: () => {
      isClosed = true;
    },
  };
  return { link, submissions, abandoned, isClosed: () => isClosed };
}

const REPORT = createVmReport({ name: "vm-1" });

describe("jobs that were passed to another group", () => {
  let nowMs = 0;
  let rows: Record<string, SchedulerRow> = {};
  let opened: {
    address: string;
    report: VmReport;
    events: LinkEvents;
    onLost: (how: "closed" | "silent") => void;
    link: ReturnType<typeof createLink>;
  }[] = [];
  let jobs: ReturnType<typeof createOpenJobs>;
  let guests: ReturnType<typeof createGuestLinks>;
  let own: ReturnType<typeof createLink>;
  let ticker: ReturnType<typeof createTicker>;
  let outcomes: JobOutcome[] = [];

  async function wait(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      nowMs += 50;
      mock.timers.tick(50);
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    }
  }

  const openLink: typeof openRemoteLink = (options) => {
    const link = createLink(10 + opened.length);
    opened.push({
      address: options.address,
      report: options.readReport(),
      events: options.events,
      onLost: options.onLost,
      link,
    });
    return Promise.resolve(link.link);
  };

  beforeEach(() => {
    nowMs = 1_000;
    opened = [];
    outcomes = [];
    rows = {
      north: { vm: "n-1", incarnation: "x", address: "n:1", epoch: 10 },
    };
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    mock.method(performance, "now", () => nowMs);
    jobs = createOpenJobs(() => {}, (group) => guests.request(group));
    ticker = createTicker();
    guests = createGuestLinks({
      jobs,
      findRow: (group) => rows[group],
      readReport: () => REPORT,
      ticker,
      log: () => {},
      openLink,
    });
    own = createLink(1);
    jobs.setLink(own.link);
  });

  afterEach(() => {
    guests.stop();
    ticker.stop();
    jobs.close();
    mock.timers.reset();
    mock.restoreAll();
  });

  function submit(id: string): () => void {
    const order = createOrder({ id, waitMs: 1_500 });
    return jobs.submit(order, (outcome) => outcomes.push(outcome));
  }

  /** Submits a job while the VM is in solo mode, in which its task starts, and then links the VM to its group's scheduler again. */
  function submitInSoloMode(id: string): void {
    jobs.setLink(undefined);
    jobs.setLink({ ...createLink(1).link, isSolo: true });
    submit(id);
    jobs.events.placed(`${id}.0.0.0`, "e2");
    jobs.setLink(undefined);
    jobs.setLink(own.link);
  }

  test("are submitted as new jobs to that group's scheduler, over a guest link", async () => {
    submit("j1");
    jobs.events.passed("j1", "north");
    await wait(50);

    assert.equal(opened[0].address, "n:1");
    assert.equal(opened[0].report.isGuest, true);
    const [{ order, progress }] = opened[0].link.submissions;
    assert.equal(order.wasPassed, true);
    assert.equal(progress.isResubmitted, false);
  });

  test("are not submitted to a later scheduler of the VM's own group", async () => {
    submit("j1");
    submit("j2");
    jobs.events.passed("j1", "north");
    await wait(50);
    jobs.setLink(undefined);
    const next = createLink(2);
    jobs.setLink(next.link);

    assert.deepEqual(next.submissions.map(({ order }) => order.id), ["j2"]);
  });

  test("are not scheduled by their own VM in solo mode", async () => {
    submit("j1");
    jobs.events.passed("j1", "north");
    await wait(50);
    opened[0].onLost("silent");
    rows = {};
    jobs.setLink(undefined);
    const solo = createLink(2);
    jobs.setLink({ ...solo.link, isSolo: true });
    submit("j2");
    await wait(200);

    assert.deepEqual(solo.submissions.map(({ order }) => order.id), ["j2"]);
  });

  test("are resubmitted to the group's later scheduler with their known progress", async () => {
    submit("j1");
    jobs.events.passed("j1", "north");
    await wait(50);
    opened[0].events.placed("j1.0.0.0", "e7");
    opened[0].onLost("silent");
    rows.north = { vm: "n-2", incarnation: "y", address: "n:2", epoch: 11 };
    await wait(200);

    assert.equal(opened[1].address, "n:2");
    const [{ progress }] = opened[1].link.submissions;
    assert.equal(progress.isResubmitted, true);
    assert.deepEqual(progress.placed, [{ task: "j1.0.0.0", endpointId: "e7" }]);
  });

  test("are abandoned at that group's scheduler when their caller disconnects", async () => {
    const leave = submit("j1");
    jobs.events.passed("j1", "north");
    await wait(50);
    leave();

    assert.deepEqual(opened[0].link.abandoned, ["j1"]);
    assert.deepEqual(own.abandoned, []);
  });

  test("are refused as not run when that group has no scheduler", async () => {
    rows = {};
    submit("j1");
    jobs.events.passed("j1", "north");
    await wait(2_000);

    assert.equal(outcomes[0]?.type, "refused");
  });

  test("fail as jobs that may have run when that group's scheduler has received them and is lost for good", async () => {
    submit("j1");
    jobs.events.passed("j1", "north");
    await wait(50);
    rows = {};
    opened[0].onLost("closed");
    await wait(2_000);

    assert.equal(outcomes[0]?.type, "failed");
  });

  test("are not submitted as new jobs when their VM has started them in solo mode", async () => {
    submitInSoloMode("j1");
    // The scheduler passes the job at once, as it had passed the same id from another VM before.
    jobs.events.passed("j1", "north");
    await wait(50);

    const [{ progress }] = opened[0].link.submissions;
    assert.equal(progress.isResubmitted, true);
  });

  // Guards against a task that runs twice: an earlier scheduler of the VM's own group had started the job, and the later scheduler had passed a job of this id before.
  test("are not submitted as new jobs when another scheduler of the VM's own group may have started them", async () => {
    submit("j1");
    jobs.events.placed("j1.0.0.0", "e2");
    jobs.setLink(undefined);
    jobs.setLink(createLink(own.link.epoch + 1).link);
    jobs.events.passed("j1", "north");
    await wait(50);

    const [{ progress }] = opened[0].link.submissions;
    assert.equal(progress.isResubmitted, true);
  });

  test("are not refused as not run when their VM has started them in solo mode and that group has no scheduler", async () => {
    rows = {};
    submitInSoloMode("j1");
    jobs.events.passed("j1", "north");
    await wait(2_000);

    assert.equal(outcomes[0]?.type, "failed");
  });

  test("have a guest link that is closed when it has not been needed for some seconds", async () => {
    const leave = submit("j1");
    jobs.events.passed("j1", "north");
    await wait(50);
    leave();
    await wait(4_000);
    assert.equal(opened[0].link.isClosed(), false);
    await wait(2_000);

    assert.equal(opened[0].link.isClosed(), true);
    assert.equal(opened.length, 1);
  });
});
