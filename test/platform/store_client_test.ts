import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import { createStoreClient } from "../../platform/create_store_client.ts";
import type { StoreClient } from "../../platform/store_client.ts";
import { startStore } from "../../stand_ins/node/start_store.ts";

const TABLE = "chivegrade-jobs";

describe("the store client", () => {
  let store: Awaited<ReturnType<typeof startStore>>;
  let client: StoreClient;
  beforeEach(async () => {
    store = await startStore();
    client = createStoreClient(store.address);
    store.faults.pageRows = 2;
    for (const key of ["b", "d", "f", "h", "j"]) store.put(TABLE, key, { key });
  });
  afterEach(async () => {
    client.close();
    await store.stop();
  });

  test("a table of several pages is read completely, each row once", async () => {
    const { rows } = await client.readTable(TABLE);

    assert.deepEqual(rows.map(({ key }) => key), ["b", "d", "f", "h", "j"]);
  });

  test("a row that is added in the range of a page already read is reported by the watch", async () => {
    store.faults.afterPage = () => {
      store.faults.afterPage = undefined;
      store.put(TABLE, "a", { key: "a" });
    };
    const { rows, revision } = await client.readTable(TABLE);
    const watched = await client.watchTable(TABLE, {
      sinceRevision: revision,
      waitMs: 100,
    });

    assert.equal(rows.some(({ key }) => key === "a"), false);
    assert.deepEqual(watched.rows.map(({ key }) => key), ["a"]);
  });

  test("each call is reported with its path and its outcome", async () => {
    const calls: { kind: string; outcome: string }[] = [];
    const counted = createStoreClient(store.address, (call) => {
      calls.push(call);
    });
    await counted.readTable(TABLE);
    store.faults.status = 429;
    await assert.rejects(counted.readTable(TABLE), /status 429/);
    counted.close();

    assert.deepEqual(
      calls.map(({ kind, outcome }) => `${kind} ${outcome}`),
      [...Array(3).fill("GET /rows-get 200"), "GET /rows-get 429"],
    );
  });
});
