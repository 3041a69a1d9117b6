import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import { createStoreClient } from "../../platform/create_store_client.ts";
import type { StoreClient } from "../../platform/store_client.ts";
import { watchConfiguration } from "../../platform/watch_configuration.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import { startStore } from "../../stand_ins/node/start_store.ts";
import { createConfiguration } from "../fixtures/start_nodes.ts";
import { startSlowLink } from "../fixtures/start_slow_link.ts";

/** Bandwidth of the smallest VMs of the users' sheets. */
const MBPS = 13.3;
/** Time within which an acknowledged configuration is in force, in ms. */
const APPLY_MS = 3_000;
/** Pause between two messages of the scheduler, which name its version. */
const STATUS_MS = 100;
const ROUTES = 4_200;

describe("a configuration whose transfer takes longer than the pause between messages", () => {
  let store: Awaited<ReturnType<typeof startStore>>;
  let link: Awaited<ReturnType<typeof startSlowLink>>;
  let client: StoreClient;
  let watched: ReturnType<typeof watchConfiguration>;
  let calls: { kind: string; outcome: string }[];
  let seenVersion: number;
  let status: NodeJS.Timeout;
  beforeEach(async () => {
    store = await startStore();
    link = await startSlowLink(store.address, { mbps: MBPS });
    calls = [];
    client = createStoreClient(link.address, (call) => calls.push(call));
    seenVersion = 0;
    store.put("op", "config", createConfiguration(1));
    watched = watchConfiguration(client, () => {});
    status = setInterval(() => watched.onVersionSeen(seenVersion), STATUS_MS);
    while (!watched.read()) await waitMs(20);
  });
  afterEach(async () => {
    clearInterval(status);
    watched.stop();
    client.close();
    link.stop();
    await store.stop();
  });

  /** Puts a large configuration, of which the scheduler's messages tell at once. */
  function putLarge(version: number): void {
    const routes = Array.from({ length: ROUTES }, (_, index) => `/q${index}/`);
    store.put("op", "config", createConfiguration(version, routes));
    seenVersion = version;
    calls.length = 0;
  }

  function countReads(): number {
    return calls.filter(({ kind }) => kind === "GET /rows-get").length;
  }

  // Each message of the scheduler began another read of the whole table. The
  // reads shared the link, so that each of them was given up, to the end.
  test("is in force in time on the smallest link", async () => {
    putLarge(2);
    await waitMs(APPLY_MS);

    assert.equal(watched.read()?.version, 2);
    assert.ok(countReads() <= 1, `${countReads()} reads`);
    assert.deepEqual(calls.filter(({ outcome }) => outcome === "broken"), []);
  });

  test("is in force in time where only reads bring it, as the watch fails", async () => {
    store.faults.keptFrom = Infinity;
    await waitMs(600);
    putLarge(2);
    await waitMs(APPLY_MS);

    assert.equal(watched.read()?.version, 2);
  });

  test("is in force in time after two others that came before it was read", async () => {
    for (const version of [2, 3, 4]) {
      putLarge(version);
      await waitMs(300);
    }
    await waitMs(APPLY_MS);

    assert.equal(watched.read()?.version, 4);
  });

  // The reads took all connections of the calls that heartbeats and job writes use.
  test("does not keep writes from the store meanwhile", async () => {
    putLarge(2);
    const untilMs = performance.now() + APPLY_MS;
    while (performance.now() < untilMs) {
      const write = {
        type: "write",
        key: "chivegrade/beat",
        value: 1,
      } as const;
      const result = await client.transact([write]);
      assert.equal(result.type, "committed");
      await waitMs(STATUS_MS);
    }
  });
});
