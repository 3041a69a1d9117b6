import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import type { LeaseRow } from "../../src/decide/own/lease_row.ts";
import { applyView } from "../../src/entry/apply_view.ts";
import { formatRowKey } from "../../src/store/format_row_key.ts";
import { MemoryPlatform } from "../../stand_ins/platform/memory_platform.ts";
import { createTestEntry } from "../fixtures/create_test_entry.ts";
import type { TestEntry } from "../fixtures/create_test_entry.ts";
import { waitFor } from "../fixtures/wait_for.ts";

const SELF = "127.0.0.1:3";
const OTHER = "127.0.0.1:9";
const SHARD_KEY = formatRowKey("shard", "north/0");

/**
 * A shard row may name an earlier incarnation of a process that has restarted at
 * the same address. Guards against acquiring such a shard and thereby ending the
 * lease of the restarted process.
 */
describe("a shard held by an earlier incarnation of a restarted process", () => {
  let platform: MemoryPlatform;
  let entry: TestEntry;

  function readLease(name: string): LeaseRow {
    const row = platform.rows.get(formatRowKey("lease", `north/${name}`));
    return row?.value as LeaseRow;
  }

  function readHolder(): string {
    return (platform.rows.get(SHARD_KEY)?.value as { holder: string }).holder;
  }

  function setHolder(holder: string): void {
    platform.transact([{
      type: "write",
      key: SHARD_KEY,
      value: {
        holder,
        incarnation: "earlier",
        epoch: 1,
        inUse: [],
        windows: [],
      },
    }]);
  }

  /** Applies the message that the entry's control daemon would send. */
  function applyPlatformView(): void {
    const read = (prefix: string) =>
      platform.scan(prefix, 0).rows.map((row) => ({
        ...row,
        key: row.key.slice(prefix.length),
      }));
    applyView(
      entry.context,
      {
        version: 1,
        configuration: "",
        leases: read(formatRowKey("lease", "north/")),
        shards: read(formatRowKey("shard")),
        leavingAddresses: [],
      } as Parameters<typeof applyView>[1],
    );
  }

  async function start(holder: string): Promise<void> {
    setHolder(holder);
    entry = createTestEntry({ leaseMs: 3_000 }, platform);
    await waitFor(() => readLease(SELF)?.state === "live");
  }

  beforeEach(() => {
    platform = new MemoryPlatform();
  });
  afterEach(() => entry.stop());

  test("is acquired by the restarted process, which keeps its lease", async () => {
    await start(SELF);
    const { incarnation } = entry.context;
    applyPlatformView();
    await waitFor(() => entry.context.state.shards.get(0)?.phase === "active");
    // Longer than the renewal interval of a 3 s lease (300 ms).
    await new Promise((resolve) => setTimeout(resolve, 700));

    assert.equal(entry.context.incarnation, incarnation);
    assert.equal(readLease(SELF).state, "live");
  });

  test("is acquired by another process, and the restarted process keeps its lease", async () => {
    await start(OTHER);
    platform.transact([{
      type: "write",
      key: formatRowKey("lease", `north/${OTHER}`),
      value: {
        ...readLease(SELF),
        incarnation: "later",
        address: OTHER,
        // With weight 0 this process is not the preferred holder of any shard.
        weight: 0,
      },
    }]);
    applyPlatformView();
    await waitFor(() => readHolder() === SELF);

    assert.equal(readLease(OTHER).state, "live");
    assert.equal(readLease(OTHER).incarnation, "later");
  });
});
