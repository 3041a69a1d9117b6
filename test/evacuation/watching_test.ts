import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import { createStoreClient } from "../../platform/create_store_client.ts";
import type { StoreClient } from "../../platform/store_client.ts";
import { watchConfiguration } from "../../platform/watch_configuration.ts";
import { startStore } from "../../stand_ins/node/start_store.ts";
import { createConfiguration } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

describe("the watch of the operator's rows", () => {
  let store: Awaited<ReturnType<typeof startStore>>;
  let client: StoreClient;
  let watch: ReturnType<typeof watchConfiguration>;
  const paths: string[] = [];
  beforeEach(async () => {
    paths.length = 0;
    store = await startStore();
    store.put("op", "config", createConfiguration(1));
    client = createStoreClient(store.address, ({ kind }) => paths.push(kind));
    watch = watchConfiguration(client, () => {});
    await waitFor(() => watch.readEvacuations() !== undefined);
  });
  afterEach(async () => {
    watch.stop();
    client.close();
    await store.stop();
  });

  async function waitForList(expected: string[]): Promise<void> {
    await waitFor(() => {
      const found = watch.readEvacuations()?.dataCentres ?? [];
      return found.join() === expected.join();
    });
  }

  test("an evacuation is known and taken back without further calls of the store", async () => {
    store.put("op", "evacuate/a", {});
    store.put("op", "evacuate/b", "not JSON");
    await waitForList(["a", "b"]);
    store.remove("op", "evacuate/a");
    await waitForList(["b"]);

    assert.deepEqual(
      paths.filter((path) => !path.endsWith("/rows-feed")),
      ["GET /rows-get"],
    );
  });

  test("one that changes while the store is down is known once it is back", async () => {
    store.put("op", "evacuate/a", {});
    await waitForList(["a"]);
    store.faults.status = 503;
    await waitFor(() => !watch.isStoreReachable());
    assert.deepEqual(watch.readEvacuations()?.dataCentres, ["a"]);
    store.remove("op", "evacuate/a");
    store.put("op", "evacuate/b", {});
    store.faults.status = undefined;

    await waitForList(["b"]);
  });

  test("one that is taken back in a history that the store has forgotten ends", async () => {
    store.put("op", "evacuate/a", {});
    await waitForList(["a"]);
    store.faults.keptFrom = Infinity;
    await waitFor(() => !watch.isStoreReachable());
    store.remove("op", "evacuate/a");
    await waitForList([]);
  });
});
