import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { chooseHolders } from "../../src/decide/own/choose_holders.ts";
import { createLeaseState } from "../../src/decide/own/create_lease_state.ts";
import { createSuspectWindow } from "../../src/decide/own/create_suspect_window.ts";
import { confirmLease } from "../../src/decide/own/confirm_lease.ts";
import { decideOwnership } from "../../src/decide/own/decide_ownership.ts";
import { findOverdueHolders } from "../../src/decide/own/find_overdue_holders.ts";
import { isLeaseValid } from "../../src/decide/own/is_lease_valid.ts";
import type { LeaseRow } from "../../src/decide/own/lease_row.ts";
import type { OwnershipView } from "../../src/decide/own/ownership_view.ts";
import type { ShardRow } from "../../src/decide/own/shard_row.ts";

const LEASE: LeaseRow = {
  incarnation: "first",
  address: "10.0.0.1:1",
  controlAddress: "10.0.0.1:2",
  dataCentre: "north",
  weight: 1,
  state: "live",
  leaseMs: 10_000,
  ackedAtMs: 100_000,
  coveredUntilMs: 100_000,
  clean: false,
};

function createView(
  leases: Record<string, Partial<LeaseRow>>,
  shards: Record<string, Partial<ShardRow>>,
): OwnershipView {
  const row = <Value>(key: string, value: Value) =>
    [key, { key, value, revision: 1, updatedAtMs: 101_000 }] as const;
  return {
    leases: new Map(
      Object.entries(leases).map(([key, value]) =>
        row(key, { ...LEASE, ...value })
      ),
    ),
    shards: new Map(
      Object.entries(shards).map(([key, value]) =>
        row(key, {
          holder: "",
          incarnation: "",
          epoch: 1,
          windows: [],
          inUse: [],
          ...value,
        })
      ),
    ),
    leavingAddresses: [],
    confirmedDead: new Set(),
    platformOffsetMs: 0,
  };
}

function createConfirmedLease(unwritten: number) {
  const lease = createLeaseState("first");
  confirmLease(lease, {
    sentAt: { monotonicMs: 1_000, wallMs: 51_000 },
    receivedAt: { monotonicMs: 1_400, wallMs: 51_400 },
    revision: 2,
    atMs: 51_200,
    leaseMs: 10_000,
    unwritten,
  });
  return lease;
}

describe("ownership", () => {
  test("a lease runs from the time at which its write was sent, on both clocks", () => {
    const lease = createConfirmedLease(0);

    assert.equal(
      isLeaseValid(lease, { monotonicMs: 10_999, wallMs: 60_999 }),
      true,
    );
    assert.equal(
      isLeaseValid(lease, { monotonicMs: 11_000, wallMs: 60_999 }),
      false,
    );
    assert.equal(
      isLeaseValid(lease, { monotonicMs: 10_999, wallMs: 61_000 }),
      false,
    );
  });

  test("a renewal advances coveredUntilMs only if all started jobs have durable claims", () => {
    assert.equal(createConfirmedLease(0).coveredUntilMs, 51_200);
    assert.equal(createConfirmedLease(1).coveredUntilMs, 0);
  });

  test("a shard is acquired once the lease of its holder has expired, and not before", () => {
    const view = createView(
      { other: {}, self: { incarnation: "mine" } },
      { "north/0": { holder: "other", incarnation: "first" } },
    );
    const self = { name: "self", dataCentre: "north", leaving: false };

    const early = decideOwnership(view, self, {
      shards: 1,
      platformNowMs: 111_900,
    });
    view.leases.delete("self");
    view.leases.set("self", {
      key: "self",
      value: { ...LEASE, incarnation: "mine" },
      revision: 9,
      updatedAtMs: 112_000,
    });
    const late = decideOwnership(view, self, {
      shards: 1,
      platformNowMs: 112_000,
    });

    assert.deepEqual(early, []);
    assert.deepEqual(late, [{ type: "acquire", shard: 0, from: "other" }]);
  });

  test("a shard whose holder is confirmed dead is acquired before the lease expires", () => {
    const view = createView(
      { other: {}, self: { incarnation: "mine" } },
      { "north/0": { holder: "other", incarnation: "first" } },
    );
    const self = { name: "self", dataCentre: "north", leaving: false };
    const options = { shards: 1, platformNowMs: 102_600 };

    const overdue = findOverdueHolders(view, self, options.platformNowMs);
    assert.deepEqual(overdue.map((holder) => holder.name), ["other"]);
    assert.deepEqual(decideOwnership(view, self, options), []);
    view.confirmedDead.add("first");

    assert.deepEqual(decideOwnership(view, self, options), [
      { type: "acquire", shard: 0, from: "other" },
    ]);
  });

  test("a shard is acquired if its holder has restarted as another incarnation", () => {
    const view = createView(
      { self: { incarnation: "second" } },
      { "north/0": { holder: "self", incarnation: "first" } },
    );
    const self = { name: "self", dataCentre: "north", leaving: false };

    const actions = decideOwnership(view, self, {
      shards: 1,
      platformNowMs: 102_000,
    });

    assert.deepEqual(actions, [{ type: "acquire", shard: 0, from: "self" }]);
  });

  test("a process that is leaving hands its shards over", () => {
    const view = createView(
      { self: {}, other: {} },
      { "north/0": { holder: "self", incarnation: "first" } },
    );
    const self = { name: "self", dataCentre: "north", leaving: true };

    const actions = decideOwnership(view, self, {
      shards: 1,
      platformNowMs: 102_000,
    });

    assert.deepEqual(actions, [{ type: "handOver", shard: 0, to: "other" }]);
  });

  test("shards are distributed by weight, and most of them keep their holder when another process leaves", () => {
    const processes = ["a", "b", "c", "d"].map((name) => ({ name, weight: 1 }));
    const before = chooseHolders(16, processes);
    const after = chooseHolders(16, processes.slice(0, 3));

    for (const { name } of processes) {
      assert.equal(before.filter((one) => one === name).length, 4);
    }
    const moved = before.filter((one, shard) =>
      one !== "d" && one !== after[shard]
    );
    assert.ok(moved.length <= 8, `${moved.length} moved`);
  });

  test("a lost holder leaves a suspect window, and a holder that stopped cleanly leaves none", () => {
    const options = {
      platformNowMs: 115_000,
      skewMs: 500,
      isConfirmedDead: false,
    };
    const lost = { value: LEASE, updatedAtMs: 101_000 };

    assert.deepEqual(createSuspectWindow(lost, options), {
      fromMs: 100_500,
      toMs: 111_500,
    });
    const clean = { ...lost, value: { ...LEASE, clean: true } };
    assert.equal(createSuspectWindow(clean, options), undefined);
  });

  test("a holder that is confirmed dead before it could be cut off leaves no suspect window", () => {
    const lost = { value: LEASE, updatedAtMs: 101_000 };
    const early = {
      platformNowMs: 103_900,
      skewMs: 500,
      isConfirmedDead: true,
    };

    assert.equal(createSuspectWindow(lost, early), undefined);
    const late = { ...early, platformNowMs: 104_100 };
    assert.deepEqual(createSuspectWindow(lost, late), {
      fromMs: 100_500,
      toMs: 104_600,
    });
  });
});
