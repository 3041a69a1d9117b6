import assert from "node:assert/strict";
import { test } from "node:test";
import { v7 as createId } from "uuid";
import { startCluster } from "../fixtures/start_cluster.ts";
import { submit } from "../fixtures/submit.ts";
import { waitFor } from "../fixtures/wait_for.ts";

test("lost replies to writes that the platform applied fail no job and start no task twice", async () => {
  const cluster = await startCluster({ entries: { north: 1 } });
  try {
    const url = cluster.entries[0].ready.ready;
    for (let round = 0; round < 5; round += 1) {
      cluster.platform.faults.loseReplies = 2;
      const answer = await submit(url, { tasks: [{ value: round }] });
      assert.equal(answer.status, "complete");
    }
    const starts = [...cluster.countStarts().values()];
    assert.deepEqual(starts, [1, 1, 1, 1, 1]);
  } finally {
    await cluster.stop();
  }
});

test("while the platform is down, jobs with recently created ids complete, others are refused with notRun, and all complete afterwards", async () => {
  const cluster = await startCluster({
    entries: { north: 2 },
    policy: { leaseMs: 20_000, clockSkewMs: 200 },
  });
  try {
    const [one, other] = cluster.entries.map((entry) => entry.ready.ready);
    cluster.platform.faults.down = true;
    await new Promise((resolve) => setTimeout(resolve, 7_000));
    const id = createId();
    const tasks = [{ value: 1 }];

    const served = await submit(one, { id, tasks });
    const startedAtMs = performance.now();
    const refused = await submit(other, { id: "order-1", tasks });
    const refusedWithinMs = performance.now() - startedAtMs;

    assert.equal(served.status, "complete", JSON.stringify(served));
    assert.equal(refused.status, "refused");
    assert.equal(refused.notRun, true);
    assert.ok((refused.retryAfterMs ?? 0) > 0);
    assert.ok(refusedWithinMs < 5_000, "the refusal took 5 s or longer");
    cluster.platform.faults.down = false;
    await waitFor(() => hasLogged(cluster, id));
    const again = await submit(other, { id, tasks });
    assert.equal(again.status, "complete", JSON.stringify(again));
    assert.equal(cluster.countStarts().get(`guild/${id}/0`), 1);
    await new Promise((resolve) => setTimeout(resolve, refused.retryAfterMs));
    const later = await submit(one, { id: "order-1", tasks });
    assert.equal(later.status, "complete", JSON.stringify(later));
  } finally {
    await cluster.stop();
  }
});

function hasLogged(
  cluster: Awaited<ReturnType<typeof startCluster>>,
  id: string,
): boolean {
  const rows = cluster.platform.platform.scan("log/", 0).rows;
  return JSON.stringify(rows).includes(id);
}
