import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import type { HeartbeatRow } from "../../src/vm/heartbeat_row.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import { checkDoneOnce } from "../fixtures/check_done_once.ts";
import { checkRuns } from "../fixtures/check_runs.ts";
import { createId } from "../fixtures/create_id.ts";
import { postJob } from "../fixtures/post_job.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;

/** Tasks of which one worker in the small data centre holds two. */
const WIDE = 3;

/** Tasks of the test that the large data centre's five workers hold, but for one that may be running. */
const FAR_PLACES = 9;
/** Within this a scheduler has read the other group's beat, in ms. */
const BEAT_READ_MS = 200;

/** How many runs the workers of the large data centre have begun for a job. */
function countFarRuns({ workers }: System, id: string): number {
  return workers.slice(1).flatMap(({ history }) => history)
    .filter(({ task }) => task.startsWith(id)).length;
}

/** Waits until the large data centre's scheduler, which may just have been replaced, has told of room for any job here, and the other has read it. */
async function waitForFarRoom({ nodes, store }: System): Promise<void> {
  await waitFor(async () => {
    await postJob(nodes[1], createId(2));
    const beat = store.read(
      "chivegrade-beat",
      "scheduler.dc-b",
    ) as HeartbeatRow;
    return (beat.summary?.rooms[0]?.places ?? 0) >= FAR_PLACES;
  });
  await waitMs(BEAT_READ_MS);
}

describe("nodes in two groups of endpoints", () => {
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
    // Both schedulers know their workers, and have told of a task's room.
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

  test("a job that fits runs in its VM's own group", async () => {
    const id = createId(10);
    assert.equal((await postJob(system.nodes[0], id)).status, 200);
    assert.equal(countFarRuns(system, id), 0);
  });

  // Guards against a job that stays where it does not fit, and tasks that two groups run, or one group twice.
  test("one that does not fit whole runs in the other group, once", async () => {
    await waitForFarRoom(system);
    const id = createId(11);
    const reply = await postJob(system.nodes[0], id, { tasks: WIDE });

    assert.equal(reply.status, 200);
    const near = system.workers[0].history
      .filter(({ task }) => task.startsWith(id));
    assert.deepEqual(near, []);
    await checkDoneOnce(system, { id, tasks: WIDE });
    checkRuns(system.workers.flatMap(({ history }) => history), {
      isDoneFinal: false,
    });
  });

  test("the lost scheduler of one group is replaced, and the other group goes on", async () => {
    const row = system.store.read("chivegrade", "scheduler.dc-b") as {
      vm: string;
    };
    const lost = system.nodes.find(({ name }) => name === row.vm);
    const left = system.nodes.find(({ name }) =>
      name !== row.vm && name !== "vm-1"
    );
    assert.ok(lost && left);
    lost.child.kill("SIGKILL");
    const [near, far] = await Promise.all([
      postJob(system.nodes[0], createId(20)),
      postJob(left, createId(21)),
    ]);

    assert.equal(near.status, 200);
    assert.equal(far.status, 200);
    const next = system.store.read("chivegrade", "scheduler.dc-b") as {
      vm: string;
    };
    assert.equal(next.vm, left.name);
  });
});
