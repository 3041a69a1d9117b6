import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import { createOpenJobs } from "../../src/vm/create_open_jobs.ts";
import type { SchedulerLink } from "../../src/vm/scheduler_link.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";

describe("a job whose caller's wait time is over", () => {
  let nowMs = 0;
  let jobs: ReturnType<typeof createOpenJobs>;
  let outcomes: JobOutcome[] = [];
  let abandoned: string[] = [];

  const link: SchedulerLink = {
    epoch: 1,
    isSolo: false,
    submit: () => {},
    abandon: (id) => abandoned.push(id),
    leave: () => Promise.resolve(),
    close: () => {},
  };

  beforeEach(() => {
    nowMs = 1_000;
    outcomes = [];
    abandoned = [];
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    mock.method(performance, "now", () => nowMs);
    jobs = createOpenJobs(() => {});
    jobs.setLink(link);
  });
  afterEach(() => {
    jobs.close();
    mock.timers.reset();
    mock.restoreAll();
  });

  function wait(ms: number): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      nowMs += 50;
      mock.timers.tick(50);
    }
  }

  function submit(waitMs = 1_500): () => void {
    const order = createOrder({ id: "j1", waitMs });
    return jobs.submit(order, (outcome) => outcomes.push(outcome));
  }

  test("is abandoned at once, as the caller resends it", () => {
    submit();
    wait(1_450);
    assert.deepEqual(abandoned, []);
    wait(50);

    assert.deepEqual(abandoned, ["j1"]);
    assert.deepEqual(outcomes, [{ type: "failed", reason: "outOfTime" }]);
    assert.equal(jobs.isEmpty(), true);
  });

  test("continues while another caller waits for it", () => {
    submit();
    wait(1_000);
    submit();
    wait(1_000);
    assert.deepEqual(abandoned, []);
    wait(500);

    assert.deepEqual(abandoned, ["j1"]);
    assert.equal(outcomes.length, 2);
  });

  test("is not abandoned after it has ended", () => {
    submit();
    wait(500);
    jobs.events.ended("j1", { type: "completed" });
    wait(2_000);

    assert.deepEqual(abandoned, []);
    assert.deepEqual(outcomes, [{ type: "completed" }]);
  });

  test("gets the full wait time when its caller disconnects and resends it", () => {
    const disconnect = submit();
    wait(1_000);
    disconnect();
    submit();
    wait(1_000);

    assert.deepEqual(outcomes, []);
  });

  test("may have a wait time longer than a timer supports", () => {
    submit(1e12);
    wait(500);

    assert.deepEqual(outcomes, []);
  });
});
