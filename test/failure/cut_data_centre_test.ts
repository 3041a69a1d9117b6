import assert from "node:assert/strict";
import { test } from "node:test";
import { v7 as createId } from "uuid";
import { startCluster } from "../fixtures/start_cluster.ts";
import { startRelay } from "../fixtures/start_relay.ts";
import { submit } from "../fixtures/submit.ts";

test("a data centre that is cut off from the platform serves its own clients, and runs no tasks of others", async () => {
  const relays: Awaited<ReturnType<typeof startRelay>>[] = [];
  const cluster = await startCluster({
    entries: { north: 1, south: 1 },
    policy: { leaseMs: 20_000, clockSkewMs: 200 },
    relayPlatform: async (url) => {
      const relay = await startRelay(url);
      relays.push(relay);
      return relay.url;
    },
  });
  try {
    const [north, south] = cluster.entries.map((entry) => entry.ready.ready);
    relays[0].cut();
    await new Promise((resolve) => setTimeout(resolve, 7_000));
    const tasks = [{ value: 1 }];

    const guild = await submit(north, { client: "guild", tasks });
    const rooms = await submit(south, { client: "rooms", tasks });
    const opaque = await submit(north, { client: "guild", id: "o-1", tasks });

    assert.equal(guild.status, "complete");
    assert.equal(rooms.status, "complete");
    assert.equal(opaque.notRun, true);
    relays[0].heal();
    const id = createId();
    const forwarded = await submit(south, { client: "guild", id, tasks });
    assert.equal(forwarded.status, "complete");
    const homes = cluster.endpoints.map((endpoint) =>
      endpoint.log.records.map((record) => record.taskKey.split("/")[0])
    );
    assert.ok(homes.slice(0, 2).flat().every((client) => client === "guild"));
    assert.ok(homes.slice(2).flat().every((client) => client === "rooms"));
  } finally {
    await cluster.stop();
    relays[0].stop();
  }
});
