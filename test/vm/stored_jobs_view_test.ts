import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createStoredJobsView } from "../../src/vm/create_stored_jobs_view.ts";

describe("a VM's view of stored jobs", () => {
  let nowMs = 0;
  beforeEach(() => {
    nowMs = 10_000;
    mock.method(performance, "now", () => nowMs);
  });
  afterEach(() => mock.restoreAll());

  test("the number of pending jobs is unknown before the first heartbeat", () => {
    assert.equal(createStoredJobsView().countPendingJobs("proofs"), undefined);
  });

  test("a heartbeat without counts keeps the last counts", () => {
    const view = createStoredJobsView();
    view.update({ pending: { proofs: 172 }, backlogsMs: {} });
    nowMs += 500;
    view.update({ backlogsMs: {} });

    assert.equal(view.countPendingJobs("proofs"), 172);
    assert.equal(view.countPendingJobs("spreads"), 0);
  });

  test("a count older than two seconds is not returned", () => {
    const view = createStoredJobsView();
    view.update({ pending: { proofs: 3 }, backlogsMs: {} });
    nowMs += 2_100;
    view.update({ backlogsMs: {} });

    assert.equal(view.countPendingJobs("proofs"), undefined);
  });

  test("a backlog older than two seconds is not returned, so that no job is refused for it", () => {
    const view = createStoredJobsView();
    view.update({ pending: {}, backlogsMs: { layout: 9_000 } });
    assert.equal(view.readBacklogMs("layout"), 9_000);
    nowMs += 2_100;

    assert.equal(view.readBacklogMs("layout"), 0);
  });
});
