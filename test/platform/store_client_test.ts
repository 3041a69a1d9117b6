import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { afterEach, beforeEach, describe, test } from "node:test";
import { createStoreClient } from "../../platform/create_store_client.ts";
import type { StoreClient } from "../../platform/store_client.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
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

describe("a reply of the store that arrives in parts", () => {
  /** Time between two parts, in ms. */
  const GAP_MS = 500;
  const PARTS = ['{"ver":1,', '"nowMs":1,', '"rows":', "[", "]", "}"];
  let server: Server;
  let client: StoreClient;
  let sentParts: number;
  beforeEach(async () => {
    server = createServer(async (_request, response) => {
      for (const part of PARTS.slice(0, sentParts)) {
        response.write(part);
        await waitMs(GAP_MS);
      }
      if (sentParts >= PARTS.length) response.end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { port: number };
    client = createStoreClient(`127.0.0.1:${port}`);
  });
  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  // Large rows were given up on slow links after a time that did not depend on their size.
  test("is read as long as it goes on arriving", async () => {
    sentParts = PARTS.length;
    const { revision } = await client.readTable(TABLE);

    assert.equal(revision, 1);
  });

  test("is given up once it stalls", async () => {
    sentParts = 2;
    const beganMs = performance.now();
    await assert.rejects(client.readTable(TABLE), /no reply/);
    const tookMs = performance.now() - beganMs;

    assert.ok(tookMs < 3_000, `${tookMs} ms`);
  });
});
