import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { endAttempt } from "../../src/decide/route/end_attempt.ts";
import { dispatchTasks } from "../../src/decide/route/dispatch_tasks.ts";
import { enqueueTask } from "../../src/decide/route/enqueue_task.ts";
import { findOrCreateClientShare } from "../../src/decide/route/find_or_create_client_share.ts";
import type { EntrySchedulerState } from "../../src/decide/route/entry_scheduler_state.ts";
import { createTestJob } from "../fixtures/create_test_job.ts";
import { createTestScheduler } from "../fixtures/create_test_scheduler.ts";

function enqueueJob(
  scheduler: EntrySchedulerState,
  job: ReturnType<typeof createTestJob>,
): void {
  const share = findOrCreateClientShare(scheduler, job.client, 1);
  share.queued += job.tasks.length;
  job.tasks.forEach((_, index) => enqueueTask(scheduler, { job, index }));
}

describe("routing", () => {
  test("an endpoint never gets more concurrent tasks than it has slots", () => {
    const scheduler = createTestScheduler({ endpoints: 2 });
    enqueueJob(scheduler, createTestJob({ tasks: 40 }));

    const dispatches = dispatchTasks(scheduler, 0);

    assert.equal(dispatches.length, 16);
    for (const endpoint of scheduler.endpoints.values()) {
      assert.equal(endpoint.inFlight, 8);
    }
  });

  test("the endpoint with the lower slowness gets tasks first", () => {
    const scheduler = createTestScheduler({ endpoints: 2 });
    const slow = scheduler.endpoints.get("e0");
    if (slow) slow.slowness = 2;
    enqueueJob(scheduler, createTestJob({ tasks: 8 }));

    const dispatches = dispatchTasks(scheduler, 0);

    assert.ok(dispatches.every((one) => one.endpointId === "e1"));
  });

  test("a client with many tasks does not delay another client", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });
    enqueueJob(scheduler, createTestJob({ client: "flood", tasks: 100 }));
    enqueueJob(scheduler, createTestJob({ client: "guild", tasks: 4 }));

    const clients = dispatchTasks(scheduler, 0).map((one) => one.job.client);

    assert.equal(clients.filter((client) => client === "guild").length, 4);
  });

  test("a short job overtakes a long job of the same client", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });
    enqueueJob(scheduler, createTestJob({ tasks: 30, rank: 3_000 }));
    enqueueJob(scheduler, createTestJob({ tasks: 2, rank: 250 }));

    const ranks = dispatchTasks(scheduler, 0).map((one) => one.job.rank);

    assert.deepEqual(ranks.slice(0, 2), [250, 250]);
  });

  test("an endpoint that refused a task gets no tasks during a pause, and its limit is lowered", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });
    const job = createTestJob({ tasks: 10 });
    enqueueJob(scheduler, job);
    const [first] = dispatchTasks(scheduler, 0);
    const outcome = { type: "refused" as const, message: "full" };
    endAttempt(scheduler, { ...first }, { outcome, tookMs: 1, nowMs: 1 });

    assert.deepEqual(dispatchTasks(scheduler, 2), []);
    const endpoint = scheduler.endpoints.get("e0");
    assert.ok(endpoint && endpoint.pausedUntilMs > 2);
    assert.equal(endpoint.limit, 7);
  });
});
