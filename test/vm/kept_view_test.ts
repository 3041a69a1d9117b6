import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createKeptView } from "../../src/vm/create_kept_view.ts";

describe("what a VM knows of stored jobs", () => {
  let nowMs = 0;
  beforeEach(() => {
    nowMs = 10_000;
    mock.method(performance, "now", () => nowMs);
  });
  afterEach(() => mock.restoreAll());

  test("how many wait is not known before a scheduler has told", () => {
    assert.equal(createKeptView().countPending("proofs"), undefined);
  });

  test("a scheduler that has not read the jobs leaves the last count as it is", () => {
    const view = createKeptView();
    view.take({ pending: { proofs: 172 }, backlogsMs: {} });
    nowMs += 500;
    view.take({ backlogsMs: {} });

    assert.equal(view.countPending("proofs"), 172);
    assert.equal(view.countPending("spreads"), 0);
  });

  test("a count older than two seconds is not told", () => {
    const view = createKeptView();
    view.take({ pending: { proofs: 3 }, backlogsMs: {} });
    nowMs += 2_100;
    view.take({ backlogsMs: {} });

    assert.equal(view.countPending("proofs"), undefined);
  });

  test("jobs are not turned away for a backlog that is no longer heard of", () => {
    const view = createKeptView();
    view.take({ pending: {}, backlogsMs: { layout: 9_000 } });
    assert.equal(view.readBacklogMs("layout"), 9_000);
    nowMs += 2_100;

    assert.equal(view.readBacklogMs("layout"), 0);
  });
});
