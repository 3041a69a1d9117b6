import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import type { HeartbeatRow } from "../../src/vm/heartbeat_row.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import { checkCompletedOnce } from "../fixtures/check_completed_once.ts";
import { checkRunOverlap } from "../fixtures/check_run_overlap.ts";
import { createId } from "../fixtures/create_id.ts";
import { postJob } from "../fixtures/post_job.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;

/** Tasks of a job that does not fit into the small data centre: its only worker has the capacity for two. */
const WIDE_JOB_TASKS = 3;

/** Tasks that the five workers of the large data centre have capacity for, less one that may be running. */
const REMOTE_CAPACITY_TASKS = 9;
/** Time within which a scheduler reads the heartbeat of the other group, in ms. */
const HEARTBEAT_READ_MS = 200;

/** Counts the runs that the workers of the large data centre have started for a job. */
function countRemoteRuns({ workers }: System, id: string): number {
  return workers.slice(1).flatMap(({ history }) => history)
    .filter(({ task }) => task.startsWith(id)).length;
}

/** Waits until the scheduler of the large data centre, which may have been replaced a moment ago, has published enough free capacity for the jobs of this test, and the other scheduler has read it. */
async function waitForRemoteCapacity({ nodes, store }: System): Promise<void> {
  await waitFor(async () => {
    await postJob(nodes[1], createId(2));
    const heartbeat = store.read(
      "chivegrade-beat",
      "scheduler.dc-b",
    ) as HeartbeatRow;
    return (heartbeat.summary?.rooms[0]?.places ?? 0) >= REMOTE_CAPACITY_TASKS;
  });
  await waitMs(HEARTBEAT_READ_MS);
}

describe("VMs in two scheduling groups", () => {
  let system: System;
  before(async () => {
    system = await startNodes({
      nodes: 3,
      workers: 6,
      runMs: 100,
      dataCentres: {
        nodes: ["dc-a", "dc-b", "dc-b"],
        workers: ["dc-a", "dc-b", "dc-b", "dc-b", "dc-b", "dc-b"],
      },
    });
    // Once both jobs are completed, both schedulers know their workers and
    // publish their free capacity for such a task.
    await waitFor(async () => {
      const replies = await Promise.all(
        [0, 1].map((index) => postJob(system.nodes[index], createId(index))),
      );
      return replies.every(({ status }) => status === 200);
    });
  });
  after(() => system.stop());

  test("each group has a scheduler among its own VMs", () => {
    const row = (group: string) =>
      system.store.read("chivegrade", `scheduler.${group}`) as { vm: string };
    assert.equal(row("dc-a").vm, "vm-1");
    assert.ok(["vm-2", "vm-3"].includes(row("dc-b").vm));
  });

  test("a job that fits into its VM's own group runs there", async () => {
    const id = createId(10);
    assert.equal((await postJob(system.nodes[0], id)).status, 200);
    assert.equal(countRemoteRuns(system, id), 0);
  });

  // Guards against a job that is never passed to the group where it fits, and
  // against tasks that run in both groups or twice in one group.
  test("a job that does not fit into its own group runs in the other group, once", async () => {
    await waitForRemoteCapacity(system);
    const id = createId(11);
    const reply = await postJob(system.nodes[0], id, { tasks: WIDE_JOB_TASKS });

    assert.equal(reply.status, 200);
    const localRuns = system.workers[0].history
      .filter(({ task }) => task.startsWith(id));
    assert.deepEqual(localRuns, []);
    await checkCompletedOnce(system, { id, tasks: WIDE_JOB_TASKS });
    checkRunOverlap(system.workers.flatMap(({ history }) => history), {
      isDoneFinal: false,
    });
  });

  test("the killed scheduler of one group is replaced, and the other group continues", async () => {
    const row = system.store.read("chivegrade", "scheduler.dc-b") as {
      vm: string;
    };
    const killed = system.nodes.find(({ name }) => name === row.vm);
    const remaining = system.nodes.find(({ name }) =>
      name !== row.vm && name !== "vm-1"
    );
    assert.ok(killed && remaining);
    killed.child.kill("SIGKILL");
    const [localReply, remoteReply] = await Promise.all([
      postJob(system.nodes[0], createId(20)),
      postJob(remaining, createId(21)),
    ]);

    assert.equal(localReply.status, 200);
    assert.equal(remoteReply.status, 200);
    const next = system.store.read("chivegrade", "scheduler.dc-b") as {
      vm: string;
    };
    assert.equal(next.vm, remaining.name);
  });
});
