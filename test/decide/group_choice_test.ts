import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { chooseGroup } from "../../src/decide/choose_group.ts";
import { computeSuccessionRank } from "../../src/decide/compute_succession_rank.ts";
import { isSchedulerTooSlow } from "../../src/decide/is_scheduler_too_slow.ts";
import { isSchedulerTooWeak } from "../../src/decide/is_scheduler_too_weak.ts";

const JOB = { service: "layout", tasks: 8, cpu: 8_000 };

function createGroupCapacity(
  group: string,
  places: number,
  service = "layout",
) {
  return { group, service, taskCpu: 8_000, places };
}

describe("choice of a group for a job that its own group cannot start", () => {
  test("a group that can start all tasks at once is chosen", () => {
    const capacities = [
      createGroupCapacity("a", 10),
      createGroupCapacity("b", 40),
    ];
    assert.equal(chooseGroup(JOB, { capacities, draw: 0 })?.group, "b");
  });

  test("no group is chosen when none has capacity for all tasks and the reserved starts", () => {
    const capacities = [
      createGroupCapacity("a", 9),
      createGroupCapacity("b", 13),
    ];
    assert.equal(chooseGroup(JOB, { capacities, draw: 0 }), undefined);
  });

  test("free capacity of another service does not count", () => {
    const capacities = [createGroupCapacity("a", 90, "proofs")];
    assert.equal(chooseGroup(JOB, { capacities, draw: 0 }), undefined);
  });

  test("a group can start fewer tasks if they are larger", () => {
    const capacities = [createGroupCapacity("a", 20)];
    const large = { ...JOB, cpu: 16_000 };
    assert.equal(chooseGroup(large, { capacities, draw: 0 }), undefined);
  });

  test("groups are chosen in proportion to their free capacity", () => {
    const capacities = [
      createGroupCapacity("a", 20),
      createGroupCapacity("b", 60),
    ];
    const counts: Record<string, number> = { a: 0, b: 0 };
    for (let index = 0; index < 100; index += 1) {
      const chosen = chooseGroup(JOB, { capacities, draw: index / 100 });
      counts[chosen?.group ?? "none"] += 1;
    }
    assert.deepEqual(counts, { a: 25, b: 75 });
  });
});

describe("scheduler role on VMs with unequal processors", () => {
  test("the succession order of the last scheduler determines the rank", () => {
    assert.equal(
      computeSuccessionRank({ successionIndex: 2, strength: 0.2 }),
      2,
    );
    assert.ok(
      computeSuccessionRank({ successionIndex: 90, strength: 1 }) <= 10,
    );
  });

  test("without a succession order the weakest VM has the highest rank", () => {
    const computeRank = (strength: number) =>
      computeSuccessionRank({ successionIndex: -1, strength });
    assert.equal(computeRank(1.35), 0);
    assert.ok(computeRank(0.243) > computeRank(0.81));
  });

  test("a scheduler with a long event-loop delay resigns in favour of a successor with a short one", () => {
    assert.ok(isSchedulerTooSlow({ delayMs: 80, successorDelayMs: 5 }));
    assert.ok(!isSchedulerTooSlow({ delayMs: 80, successorDelayMs: 70 }));
    assert.ok(!isSchedulerTooSlow({ delayMs: 10, successorDelayMs: 0 }));
  });

  test("a scheduler resigns in favour of a successor with twice its processor time", () => {
    assert.ok(isSchedulerTooWeak(0.243, 1.35));
    assert.ok(!isSchedulerTooWeak(0.81, 1.35));
    assert.ok(!isSchedulerTooWeak(0.675, 0.675));
  });
});
