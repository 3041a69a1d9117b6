import assert from "node:assert/strict";
import { describe, mock, test } from "node:test";
import { loadOrCreateLayout } from "../../src/group/load_or_create_layout.ts";
import { computeLayout } from "../../src/group/compute_layout.ts";
import { findGroup } from "../../src/group/find_group.ts";
import { listGroups } from "../../src/group/list_groups.ts";
import type { EndpointRow } from "../../src/scheduler/endpoint_row.ts";
import type { Table } from "../../src/store/table.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";

/** Creates the rows of as many endpoints as `counts` gives for each data centre. */
function createRows(counts: Record<string, number>): EndpointRow[] {
  return Object.entries(counts).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, index) => ({
      id: `${dataCentre}-${index}`,
      address: "127.0.0.1:1",
      service: "layout",
      dataCentre,
      labels: [],
      room: { cpu: 16_000, memoryMb: 1, gpus: 0 },
      isDraining: false,
    }))
  );
}

describe("computing the group layout", () => {
  test("a few dozen endpoints form a single group", () => {
    const layout = computeLayout(createRows({ a: 8, b: 8, c: 8, d: 8 }));
    assert.deepEqual(listGroups(layout), ["all"]);
    assert.equal(findGroup(layout, "b"), "all");
  });

  test("hundreds of endpoints form a group in each data centre", () => {
    const layout = computeLayout(createRows({ a: 63, b: 63, c: 63 }));
    assert.deepEqual(listGroups(layout), ["a", "b", "c"]);
    assert.equal(findGroup(layout, "b"), "b");
  });

  test("a data centre with few endpoints joins the smallest group", () => {
    const layout = computeLayout(createRows({ a: 80, b: 60, c: 5 }));
    assert.deepEqual(listGroups(layout), ["a", "b"]);
    assert.equal(findGroup(layout, "c"), "b");
  });

  test("a data centre that the layout does not name joins the first group", () => {
    const layout = computeLayout(createRows({ a: 80, b: 60 }));
    assert.equal(findGroup(layout, "new"), "a");
  });

  test("a deployment with one data centre is a single group of any size", () => {
    assert.deepEqual(listGroups(computeLayout(createRows({ a: 400 }))), [
      "all",
    ]);
  });
});

describe("loading or creating the group layout", () => {
  async function loadLayout(
    table: Table,
    readEndpoints: () => Promise<EndpointRow[]>,
  ) {
    mock.timers.enable({ apis: ["setTimeout"] });
    let nowMs = 0;
    mock.method(performance, "now", () => nowMs);
    try {
      const { layout } = loadOrCreateLayout({
        table,
        readEndpoints,
        successionRank: 0,
        log: () => {},
      });
      let isDone = false;
      layout.then(() => isDone = true);
      while (!isDone && nowMs < 20_000) {
        for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
        nowMs += 50;
        mock.timers.tick(50);
      }
      assert.ok(isDone, "no layout was loaded or created");
      return { layout: await layout, tookMs: nowMs };
    } finally {
      mock.timers.reset();
      mock.restoreAll();
    }
  }

  test("the layout is created only when the list of endpoints no longer grows", async () => {
    let count = 0;
    const { layout } = await loadLayout(createMemoryTable(), () => {
      count = Math.min(60, count + 20);
      return Promise.resolve(createRows({ a: count, b: count, c: count }));
    });
    assert.deepEqual(listGroups(layout), ["a", "b", "c"]);
  });

  test("a layout that another VM has written is used, whichever endpoints this VM reads", async () => {
    const table = createMemoryTable();
    await loadLayout(
      table,
      () => Promise.resolve(createRows({ a: 90, b: 90 })),
    );
    const { layout, tookMs } = await loadLayout(
      table,
      () => Promise.resolve(createRows({ a: 3 })),
    );
    assert.deepEqual(listGroups(layout), ["a", "b"]);
    assert.ok(tookMs < 500);
  });

  test("a deployment without endpoints becomes a single group after some seconds", async () => {
    const { layout } = await loadLayout(
      createMemoryTable(),
      () => Promise.resolve([]),
    );
    assert.deepEqual(listGroups(layout), ["all"]);
  });

  test("failed store calls are repeated", async () => {
    let calls = 0;
    const { layout } = await loadLayout(createMemoryTable(), () => {
      calls += 1;
      if (calls < 4) return Promise.reject(new Error("silent"));
      return Promise.resolve(createRows({ a: 90, b: 90 }));
    });
    assert.deepEqual(listGroups(layout), ["a", "b"]);
  });
});
