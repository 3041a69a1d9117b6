import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { chooseGroup } from "../../src/decide/choose_group.ts";
import { computeSuccessionRank } from "../../src/decide/compute_succession_rank.ts";
import { isSchedulerTooSlow } from "../../src/decide/is_scheduler_too_slow.ts";
import { isSchedulerTooWeak } from "../../src/decide/is_scheduler_too_weak.ts";

const JOB = { service: "layout", tasks: 8, cpu: 8_000 };

function createRoom(group: string, places: number, service = "layout") {
  return { group, service, taskCpu: 8_000, places };
}

describe("more work in one data centre than it holds", () => {
  test("goes to a group that can start all of it at once", () => {
    const rooms = [createRoom("a", 10), createRoom("b", 40)];
    assert.equal(chooseGroup(JOB, { rooms, draw: 0 })?.group, "b");
  });

  test("stays when no group has room for all of it and some to spare", () => {
    const rooms = [createRoom("a", 9), createRoom("b", 13)];
    assert.equal(chooseGroup(JOB, { rooms, draw: 0 }), undefined);
  });

  test("does not go where another service has room", () => {
    const rooms = [createRoom("a", 90, "proofs")];
    assert.equal(chooseGroup(JOB, { rooms, draw: 0 }), undefined);
  });

  test("counts fewer places for larger tasks", () => {
    const rooms = [createRoom("a", 20)];
    const large = { ...JOB, cpu: 16_000 };
    assert.equal(chooseGroup(large, { rooms, draw: 0 }), undefined);
  });

  test("is spread over the groups by their room", () => {
    const rooms = [createRoom("a", 20), createRoom("b", 60)];
    const counts: Record<string, number> = { a: 0, b: 0 };
    for (let index = 0; index < 100; index += 1) {
      const room = chooseGroup(JOB, { rooms, draw: index / 100 });
      counts[room?.group ?? "none"] += 1;
    }
    assert.deepEqual(counts, { a: 25, b: 75 });
  });
});

describe("VMs of unequal processors", () => {
  test("go in the last scheduler's order", () => {
    assert.equal(
      computeSuccessionRank({ successionIndex: 2, strength: 0.2 }),
      2,
    );
    assert.ok(
      computeSuccessionRank({ successionIndex: 90, strength: 1 }) <= 10,
    );
  });

  test("without an order the weakest waits longest", () => {
    const rankOf = (strength: number) =>
      computeSuccessionRank({ successionIndex: -1, strength });
    assert.equal(rankOf(1.35), 0);
    assert.ok(rankOf(0.243) > rankOf(0.81));
  });

  test("a scheduler whose loop is late hands over to one whose is not", () => {
    assert.ok(isSchedulerTooSlow({ delayMs: 80, successorDelayMs: 5 }));
    assert.ok(!isSchedulerTooSlow({ delayMs: 80, successorDelayMs: 70 }));
    assert.ok(!isSchedulerTooSlow({ delayMs: 10, successorDelayMs: 0 }));
  });

  test("a scheduler hands over to one with twice its processor", () => {
    assert.ok(isSchedulerTooWeak(0.243, 1.35));
    assert.ok(!isSchedulerTooWeak(0.81, 1.35));
    assert.ok(!isSchedulerTooWeak(0.675, 0.675));
  });
});
