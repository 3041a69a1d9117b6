import assert from "node:assert/strict";
import { test } from "node:test";
import { startCluster } from "../fixtures/start_cluster.ts";
import { submit } from "../fixtures/submit.ts";
import { waitFor } from "../fixtures/wait_for.ts";

test("of two concurrent patches one is accepted and the other is a conflict that lists the changes", async () => {
  const cluster = await startCluster({ entries: { north: 1 } });
  try {
    cluster.platform.faults.loseReplies = 1;
    const replies = await Promise.all([
      cluster.patch({ policy: { maxQueueMs: 4_001 } }, 1),
      cluster.patch({ policy: { maxQueueMs: 4_002 } }, 1),
    ]);
    const bodies = await Promise.all(replies.map((reply) => reply.json()));

    const types = bodies.map((body) => body.type).sort();
    assert.deepEqual(types, ["accepted", "conflict"]);
    const lost = bodies.find((body) => body.type === "conflict");
    assert.equal(lost.version, 2);
    assert.equal(lost.changes[0].path, "policy.maxQueueMs");
  } finally {
    await cluster.stop();
  }
});

test("an endpoint gets no new task from 5 s after it is set to leaving, and an entry started later has the same version", async () => {
  const cluster = await startCluster({ entries: { north: 2 } });
  try {
    const url = cluster.entries[0].ready.ready;
    const tasks = Array.from({ length: 12 }, () => ({ runMs: 5 }));
    await submit(url, { tasks });
    const reply = await cluster.patch(
      { endpoints: { e0: { leaving: true } } },
      1,
    );
    assert.equal(reply.status, 200);
    await new Promise((resolve) => setTimeout(resolve, 5_000));
    const before = cluster.endpoints[0].log.records.length;

    for (let round = 0; round < 5; round += 1) await submit(url, { tasks });

    assert.equal(cluster.endpoints[0].log.records.length, before);
    const fresh = await cluster.addEntry("north");
    await waitFor(async () =>
      (await fetch(`${fresh.ready.ready}/health`)).status === 200
    );
    const status = await fetch(`${fresh.ready.ready}/status`, {
      headers: { authorization: "Bearer ada-token" },
    });
    assert.equal((await status.json()).version, 2);
  } finally {
    await cluster.stop();
  }
});

test("a patch that is invalid or would leave a service without endpoints is refused and changes nothing", async () => {
  const cluster = await startCluster({ entries: { north: 1 }, endpoints: 1 });
  try {
    const patch = { endpoints: { e0: { leaving: true } } };
    const refused = await cluster.patch(patch, 1);
    const fault = await refused.json();
    assert.equal(refused.status, 422);
    assert.match(fault.message, /service proof in north/);
    const badSlots = await cluster.patch(
      { endpoints: { e0: { slots: 65 } }, clients: { x: { weight: -1 } } },
      1,
    );
    const faults = await badSlots.json();
    assert.match(faults.message, /clients\.x\.weight/);
    assert.match(faults.message, /clients\.x\.tokenDigest/);
    const answer = await submit(cluster.entries[0].ready.ready, {
      tasks: [{ value: 1 }],
    });
    assert.equal(answer.status, "complete");
  } finally {
    await cluster.stop();
  }
});
