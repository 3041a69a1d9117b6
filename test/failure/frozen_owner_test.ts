import assert from "node:assert/strict";
import { test } from "node:test";
import { findHolderIndex } from "../fixtures/find_holder_index.ts";
import { startCluster } from "../fixtures/start_cluster.ts";
import { submit } from "../fixtures/submit.ts";
import { waitFor } from "../fixtures/wait_for.ts";

test("a process that resumes after its lease expired starts no task", async () => {
  const cluster = await startCluster({ entries: { north: 2 }, endpoints: 1 });
  try {
    const holder = findHolderIndex(cluster, "north/0");
    const owner = cluster.entries[holder];
    const tasks = Array.from({ length: 24 }, (_, value) => ({
      runMs: 500,
      value,
    }));
    submit(owner.ready.ready, { tasks, deadlineMs: 60_000 });
    await waitFor(() => cluster.countStarts().size === 8);
    owner.signal("SIGSTOP");
    await waitFor(() => findHolderIndex(cluster, "north/0") === 1 - holder);
    const before = cluster.countStarts().size;

    owner.signal("SIGCONT");
    await new Promise((resolve) => setTimeout(resolve, 1_500));

    assert.equal(cluster.countStarts().size, before);
    assert.ok([...cluster.countStarts().values()].every((one) => one === 1));
  } finally {
    await cluster.stop();
  }
});
