import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import type { ShardRow } from "../../src/decide/own/shard_row.ts";
import type { TestEntry } from "../fixtures/create_test_entry.ts";
import { createTestEntry } from "../fixtures/create_test_entry.ts";
import { submitToEntry } from "../fixtures/submit_to_entry.ts";
import { waitFor } from "../fixtures/wait_for.ts";

async function waitForShard(entry: TestEntry): Promise<void> {
  await waitFor(() => entry.context.state.shards.get(0)?.phase === "active");
}

function listLog(entry: TestEntry): string {
  return JSON.stringify(entry.platform.scan("log/", 0).rows);
}

describe("shard log", () => {
  const startedEntries: TestEntry[] = [];

  function start(...args: Parameters<typeof createTestEntry>): TestEntry {
    const entry = createTestEntry(...args);
    startedEntries.push(entry);
    return entry;
  }

  afterEach(() => {
    for (const entry of startedEntries.splice(0)) entry.stop();
  });

  test("a job is claimed in the log before its first task is sent, and its outcome is appended later", async () => {
    const entry = start();
    await waitForShard(entry);

    const answer = await submitToEntry(entry, "order-1");

    assert.equal(answer.status, "complete");
    assert.match(listLog(entry), /"claim","key":"guild\/order-1"/);
    await waitFor(() => listLog(entry).includes('"complete"'));
  });

  test("a holder whose shard was taken starts no tasks, even while it considers its lease valid", async () => {
    const entry = start();
    await waitForShard(entry);
    const row = entry.platform.rows.get("live/shard/north/0");
    const taken = { ...row?.value as ShardRow, holder: "other", epoch: 2 };
    entry.platform.transact([{
      type: "replace",
      key: "live/shard/north/0",
      value: taken,
      revision: row?.revision ?? 0,
    }]);

    const answer = await submitToEntry(entry, "order-1");

    assert.equal(answer.status, "refused");
    assert.deepEqual(entry.sentTaskKeys, []);
    assert.doesNotMatch(listLog(entry), /order-1/);
  });

  test("rows older than the retention period are removed with later appends", async () => {
    const entry = start();
    await waitForShard(entry);
    const shard = entry.context.state.shards.get(0);
    await submitToEntry(entry, "order-1");
    await waitFor(() => listLog(entry).includes('"complete"'));
    for (const one of shard?.rows ?? []) one.writtenAtMs = 0;

    await submitToEntry(entry, "order-2");

    assert.doesNotMatch(listLog(entry), /order-1/);
    assert.match(listLog(entry), /order-2/);
  });

  test("a restarted process answers a resubmission from the log with the stored answer", async () => {
    const first = start();
    await waitForShard(first);
    await submitToEntry(first, "order-1");
    await waitFor(() => listLog(first).includes('"complete"'));

    first.stop();
    const second = start({}, first.platform);
    await waitForShard(second);
    const answer = await submitToEntry(second, "order-1");

    assert.deepEqual(answer, { status: "complete", results: ["1"] });
    assert.deepEqual(second.sentTaskKeys, []);
  });
});
