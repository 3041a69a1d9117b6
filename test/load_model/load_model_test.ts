import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { computeScore } from "../../bench/load_model/compute_score.ts";
import { createBurstCases } from "../../bench/load_model/create_burst_cases.ts";
import { createGroupCases } from "../../bench/load_model/create_group_cases.ts";
import { createLoad } from "../../bench/load_model/create_load.ts";
import type { ModelLoad } from "../../bench/load_model/model_load.ts";
import { runLoad } from "../../bench/load_model/run_load.ts";

/** Loads of all cases, cut so that the first events of each are in them. */
const LOADS: ModelLoad[] = [...createBurstCases(), ...createGroupCases()]
  .map(({ load }) => ({ ...load, durationMs: 6_000 }));

function findGroupLoad(name: string): ModelLoad {
  const found = createGroupCases().find((other) => other.name === name);
  assert.ok(found);
  return { ...found.load, durationMs: 6_000 };
}

describe("the load model", () => {
  test("the same load and seed give the same outcomes", () => {
    const load = findGroupLoad("a rack that everybody wants");

    assert.deepEqual(runLoad(load, 3), runLoad(load, 3));
  });

  test("another seed gives other jobs", () => {
    const [load] = LOADS;

    assert.notDeepEqual(createLoad(load, 1), createLoad(load, 2));
  });

  test("tails, racks and callers change neither arrivals nor sizes", () => {
    const load = findGroupLoad("quiet day");
    const changed: ModelLoad = {
      ...load,
      kinds: load.kinds.map((kind) => ({
        ...kind,
        tail: { share: 0.5, factor: 7 },
        rackShare: 0.5,
      })),
      callers: [{ dataCentre: "north", share: 1 }],
    };
    const readSizes = (sampled: ModelLoad) =>
      createLoad(sampled, 1).map(({ atMs, credit, order }) => ({
        atMs: atMs.toFixed(3),
        credit,
        cpu: order.steps[0].room.cpu,
        count: order.steps[0].count,
        estimateMs: order.steps[0].estimateMs,
      }));

    assert.deepEqual(readSizes(changed), readSizes(load));
  });

  test("jobs are passed between groups and counted once", () => {
    const load = findGroupLoad(
      "burst of the largest jobs beside one of the smallest",
    );
    const { outcomes } = runLoad(load, 1);
    const passed = outcomes.filter(({ wasPassed }) => wasPassed);

    assert.equal(outcomes.length, createLoad(load, 1).length);
    assert.ok(passed.some(({ creditShare }) => creditShare === 1));
  });

  test("no case earns more credit than its bound", () => {
    for (const load of LOADS) {
      const { total, boundShare } = computeScore(load, runLoad(load, 1));

      assert.ok(total.creditShare <= boundShare + 1e-9);
      assert.ok(boundShare <= 1 + 1e-9);
    }
  });

  test("the bound is reached where one job fits exactly and falls where two compete", () => {
    const load = createOneSlotLoad();
    const [job] = createLoad(load, 1);
    const score = (jobs: number) =>
      computeScore(load, {
        outcomes: Array.from({ length: jobs }, () => ({
          job: { ...job, objectiveMs: job.taskMs[0] },
          creditShare: 1,
          firstStartMs: 0,
          wasPassed: false,
        })),
        stoppedRuns: 0,
        stoppedWork: 0,
      }).boundShare;

    assert.ok(Math.abs(score(1) - 1) < 1e-9);
    assert.ok(score(20) < 0.4);
  });
});

/** Creates a load of jobs of one task that takes all of the only endpoint. */
function createOneSlotLoad(): ModelLoad {
  return {
    durationMs: 1_000,
    endpoints: [{ cpu: 1_000, speed: 1, dataCentre: "a", labels: [] }],
    groups: "one",
    kinds: [{
      name: "only",
      perSecond: 100,
      workMs: 200,
      taskCount: 1,
      cpu: { mean: 1_000, sigma: 0, max: 1_000 },
      priority: 0,
      credit: 1,
    }],
    callers: [{ dataCentre: "a", share: 1 }],
    bursts: [],
    hotRacks: [],
  };
}
