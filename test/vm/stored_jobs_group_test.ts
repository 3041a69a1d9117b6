import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import * as fc from "fast-check";
import { createGroupWorld } from "../fixtures/create_group_world.ts";

const GROUPS = ["a", "b", "c"];
/** Time after the last fault in which the stored jobs find a group. */
const SETTLING_MS = 25_000;

describe("the group that runs the stored jobs", () => {
  let world: ReturnType<typeof createGroupWorld>;
  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    world = createGroupWorld(GROUPS);
  });
  afterEach(() => {
    mock.timers.reset();
    mock.restoreAll();
  });

  test("is the first group while its scheduler is there", async () => {
    await world.run(30_000);
    assert.deepEqual(world.listRunning(), ["a"]);
  });

  // Stored jobs of the whole deployment stood still once the first group was lost.
  test("is another group once the scheduler has been gone for ten seconds", async () => {
    await world.run(2_000);
    world.strike({ kind: "lost", group: "a", forMs: Infinity });
    await world.run(9_500);
    assert.deepEqual(world.listRunning(), []);
    await world.run(1_500);
    assert.equal(world.listRunning().length, 1);
    assert.deepEqual(world.violations, []);
  });

  test("is still the first group after a pause of 9.5 seconds", async () => {
    await world.run(2_000);
    world.strike({ kind: "frozen", group: "a", forMs: 9_500 });
    await world.run(15_000);
    assert.deepEqual(world.listRunning(), ["a"]);
  });

  test("does not change after an outage of the store, however long", async () => {
    // At its end the other groups read the heartbeats before the first has written one.
    await world.run(2_100);
    world.strike({ kind: "storeDown", group: "a", forMs: 39_900 });
    await world.run(60_000);
    assert.deepEqual(world.listRunning(), ["a"]);
  });

  test("is another group when only the first is cut off from the store, and the first stops first", async () => {
    await world.run(2_000);
    world.strike({ kind: "cutOff", group: "a", forMs: 30_000 });
    await world.run(20_000);
    const [group] = world.listRunning();
    assert.ok(group === "b" || group === "c");
    await world.run(30_000);
    assert.deepEqual(world.listRunning(), [group]);
    assert.deepEqual(world.violations, []);
  });

  test("is another group when the first never had a VM", async () => {
    world.strike({ kind: "lost", group: "a", forMs: Infinity });
    await world.run(14_000);
    assert.equal(world.listRunning().length, 1);
  });

  test("is the first open group at once when the first is evacuated, and stays there", async () => {
    await world.run(2_000);
    world.strike({ kind: "evacuated", group: "a", forMs: 5_000 });
    await world.run(600);
    assert.deepEqual(world.listRunning(), ["b"]);
    await world.run(20_000);
    assert.deepEqual(world.listRunning(), ["b"]);
    assert.deepEqual(world.violations, []);
  });

  test("is no evacuated group when the first is lost", async () => {
    world.strike({ kind: "evacuated", group: "b", forMs: 30_000 });
    await world.run(2_000);
    world.strike({ kind: "lost", group: "a", forMs: Infinity });
    await world.run(13_000);
    assert.deepEqual(world.listRunning(), ["c"]);
  });

  test("does not change while all groups are evacuated", async () => {
    await world.run(2_000);
    for (const group of GROUPS) {
      world.strike({ kind: "evacuated", group, forMs: 20_000 });
    }
    await world.run(15_000);
    assert.deepEqual(world.listRunning(), ["a"]);
  });

  // A VM of the version before runs the stored jobs whatever the row says.
  test("is the first group again when its scheduler runs them without looking at the row", async () => {
    await world.run(2_000);
    world.strike({ kind: "lost", group: "a", forMs: 15_000 });
    await world.run(14_000);
    world.useEarlierVersion("a");
    await world.run(6_000);
    assert.deepEqual(world.listRunning(), ["a"]);
  });
});

const KINDS = ["lost", "frozen", "cutOff", "storeDown", "storeSlow"] as const;

/** Plays histories of faults of the given kinds, in each of which exactly one group has to run the stored jobs at the end. */
async function checkHistories(
  kinds: readonly Parameters<
    ReturnType<typeof createGroupWorld>["strike"]
  >[0]["kind"][],
): Promise<void> {
  mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
  const fault = fc.record({
    atMs: fc.integer({ min: 0, max: 60_000 }),
    forMs: fc.integer({ min: 500, max: 25_000 }),
    group: fc.constantFrom(...GROUPS),
    kind: fc.constantFrom(...kinds),
  });
  const faults = fc.array(fault, { minLength: 1, maxLength: 8 });
  try {
    await fc.assert(
      fc.asyncProperty(faults, async (drawn) => {
        const world = createGroupWorld(GROUPS);
        const sorted = drawn.toSorted((one, other) => one.atMs - other.atMs);
        let nowMs = 0;
        for (const { atMs, ...next } of sorted) {
          await world.run(atMs - nowMs);
          nowMs = atMs;
          world.strike(next);
        }
        const lastMs = Math.max(
          ...drawn.map(({ atMs, forMs }) => atMs + forMs),
        );
        await world.run(lastMs - nowMs + SETTLING_MS);
        assert.deepEqual(world.violations, []);
        assert.equal(world.listRunning().length, 1);
      }),
      { seed: 7, numRuns: Number(process.env.CHIVEGRADE_FUZZ_RUNS ?? 60) },
    );
  } finally {
    mock.timers.reset();
    mock.restoreAll();
  }
}

test("no history of lost, frozen and cut off groups lets two groups run stored jobs at once, or leaves them without a group", () =>
  checkHistories(KINDS));

test("no history of evacuated, lost, frozen and cut off groups does either", () =>
  checkHistories([...KINDS, "evacuated", "evacuated", "evacuated"]));
