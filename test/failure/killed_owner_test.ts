import assert from "node:assert/strict";
import { test } from "node:test";
import { v7 as createId } from "uuid";
import { findHolderIndex } from "../fixtures/find_holder_index.ts";
import { startCluster } from "../fixtures/start_cluster.ts";
import { submit } from "../fixtures/submit.ts";
import { waitFor } from "../fixtures/wait_for.ts";

test("a job whose owner is killed fails with mayHaveRun, and none of its tasks starts twice", async () => {
  const cluster = await startCluster({ entries: { north: 2 } });
  try {
    const holder = findHolderIndex(cluster, "north/0");
    const owner = cluster.entries[holder];
    const other = cluster.entries[1 - holder];
    const id = createId();
    const tasks = [{ runMs: 3_000, value: 1 }, { runMs: 3_000, value: 2 }];
    const broken = submit(owner.ready.ready, { id, tasks });
    await waitFor(() => cluster.countStarts().size === 2);

    owner.signal("SIGKILL");

    assert.equal((await broken).status, "broken");
    let answer = await submit(other.ready.ready, { id, tasks });
    await waitFor(async () => {
      answer = await submit(other.ready.ready, { id, tasks });
      return answer.status === "failed";
    });
    assert.equal(answer.mayHaveRun, true);
    assert.deepEqual([...cluster.countStarts().values()], [1, 1]);
    const next = await submit(other.ready.ready, { tasks: [{ value: 3 }] });
    assert.equal(next.status, "complete");
  } finally {
    await cluster.stop();
  }
});

test("a killed process that restarts at once at the same address serves its shard again, also an id created before the kill", async () => {
  const cluster = await startCluster({
    entries: { north: 1 },
    policy: { leaseMs: 10_000 },
  });
  try {
    const [owner] = cluster.entries;
    const lease = cluster.platform.platform.scan("live/lease/", 0).rows[0];
    const id = createId();
    owner.signal("SIGKILL");
    await owner.exited;

    const again = await cluster.addEntry("north", lease.key.split("/")[3]);
    await waitFor(async () =>
      (await fetch(`${again.ready.ready}/health`)).status === 200
    );
    const answer = await submit(again.ready.ready, {
      id,
      tasks: [{ value: 1 }],
    });

    assert.equal(answer.status, "complete");
  } finally {
    await cluster.stop();
  }
});
