import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { callNode } from "../fixtures/call_node.ts";
import { checkRunOverlap } from "../fixtures/check_run_overlap.ts";
import { createId } from "../fixtures/create_id.ts";
import { runOnNodes } from "../fixtures/run_on_nodes.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;
type Runs = System["workers"][number]["history"];

/** A stored job of two steps, of which the second depends on the first. */
const JOB = {
  spec: "{}",
  steps: [
    { count: 3, cpu: 6_800, memMb: 64, estimateMs: 100 },
    { count: 2, cpu: 6_800, memMb: 64, estimateMs: 100, after: [0] },
  ],
};
/** Number of tasks of `JOB`. */
const JOB_TASKS = 5;

function listRuns(system: System, id: string) {
  return system.workers.flatMap(({ history }) => history)
    .filter(({ task }) => task.startsWith(id));
}

async function readState(system: System, id: string): Promise<unknown> {
  const reply = await callNode(system.nodes[0], {
    method: "GET",
    path: `/proofs/${id}`,
  });
  return (reply.body as { state?: string } | undefined)?.state ?? reply.status;
}

function submit(system: System, id: string, node = 0) {
  return callNode(system.nodes[node], {
    method: "POST",
    path: `/proofs/${id}`,
    body: JOB,
  });
}

describe("stored jobs", () => {
  let system: System;
  before(async () => {
    system = await startNodes({ nodes: 3, workers: 3, runMs: 100 });
  });
  after(() => system.stop());

  test("a job is accepted at once, runs step by step and is reported as completed by any VM", async () => {
    const id = createId(1);
    const reply = await submit(system, id, 1);

    assert.equal(reply.status, 200);
    await waitFor(async () => await readState(system, id) === "completed");
    const runs = listRuns(system, id);
    checkEachDoneOnce(runs);
    const firstEnds = runs.filter(({ task }) => task.startsWith(`${id}.0.0.`))
      .map(({ endedMs }) => endedMs ?? Infinity);
    const second = runs.filter(({ task }) => task.startsWith(`${id}.0.1.`));
    assert.ok(second.every(({ beganMs }) => beganMs >= Math.max(...firstEnds)));
  });

  test("submissions of the same id to all VMs at once, and again after its end, are one job", async () => {
    const id = createId(2);
    const replies = await Promise.all(
      system.nodes.map((_, index) => submit(system, id, index)),
    );
    await waitFor(async () => await readState(system, id) === "completed");
    const repeated = await submit(system, id, 2);
    await new Promise((resolve) => setTimeout(resolve, 400));

    assert.ok([...replies, repeated].every(({ status }) => status === 200));
    checkEachDoneOnce(listRuns(system, id));
    assert.equal(await readState(system, id), "completed");
  });

  test("an id that was never submitted is unknown", async () => {
    assert.equal(await readState(system, createId(3)), 410);
  });

  test("a job that is cancelled at another VM starts no further task", async () => {
    const id = createId(4);
    await submit(system, id, 0);
    const reply = await callNode(system.nodes[1], {
      method: "DELETE",
      path: `/proofs/${id}`,
    });
    assert.equal(reply.status, 200);
    await waitFor(async () => await readState(system, id) === "cancelled");
    // Tasks that were started while the cancellation was on its way may run;
    // their runs are stopped.
    await new Promise((resolve) => setTimeout(resolve, 200));
    const before = listRuns(system, id);
    await new Promise((resolve) => setTimeout(resolve, 400));

    assert.ok(before.length < JOB_TASKS);
    assert.equal(listRuns(system, id).length, before.length);
    assert.ok(before.every(({ endedMs }) => endedMs !== undefined));
  });

  test("a job whose tasks fail is reported as failed when the attempts are used up", async () => {
    const id = createId(5);
    for (const { faults } of system.workers) faults.failsAll = true;
    await submit(system, id);
    await waitFor(async () => await readState(system, id) === "failed");
    for (const { faults } of system.workers) faults.failsAll = false;

    // Runs that were stopped to move their task do not count as attempts.
    const failed = listRuns(system, id).filter(({ how }) => how === "failed");
    assert.ok(failed.length > 0);
    for (const { task } of failed) {
      assert.ok(failed.filter((one) => one.task === task).length <= 2);
    }
  });

  test("a job that fits no endpoint is refused and not stored", async () => {
    const steps = [{ count: 1, cpu: 99_000, estimateMs: 100 }];
    const reply = await callNode(system.nodes[0], {
      method: "POST",
      path: `/proofs/${createId(6)}`,
      body: { spec: "{}", steps },
    });

    assert.equal(reply.status, 503);
    assert.equal(await readState(system, createId(6)), 410);
  });

  test("pending jobs are counted at any VM", async () => {
    for (const { faults } of system.workers) faults.isSilent = true;
    const { logs } = system.findScheduler();
    await waitFor(() =>
      logs.filter(({ event }) => event === "endpointSilent").length >= 3
    );
    await submit(system, createId(7));
    const readPending = async () => {
      const reply = await callNode(system.nodes[2], {
        method: "GET",
        path: "/proofs/",
      });
      return (reply.body as { pending: number }).pending;
    };

    await waitFor(async () => await readPending() === 1);
    for (const { faults } of system.workers) faults.isSilent = false;
    await waitFor(async () => await readPending() === 0);
  });
});

describe("stored jobs under failure", () => {
  test("a power loss of the whole system right after jobs were accepted loses no job and repeats no completed task", async () => {
    await runOnNodes({ nodes: 3, workers: 3, runMs: 100 }, async (system) => {
      const ids = Array.from({ length: 6 }, (_, index) => createId(index));
      for (const id of ids) {
        assert.equal((await submit(system, id)).status, 200);
      }
      await system.restartAll();

      await waitFor(async () => {
        const states = await Promise.all(ids.map(async (id) => {
          try {
            return await readState(system, id);
          } catch {
            // The restarted VM does not accept connections yet.
            return undefined;
          }
        }));
        return states.every((state) => state === "completed");
      }, 15_000);
      checkDoneOnce(system);
    });
  });

  test("a killed scheduler loses no job, and no completed task runs again", async () => {
    await runOnNodes({ nodes: 3, workers: 3, runMs: 100 }, async (system) => {
      const scheduler = system.findScheduler();
      const node = system.nodes.findIndex((one) => one !== scheduler);
      const ids = Array.from({ length: 6 }, (_, index) => createId(index));
      for (const id of ids) await submit(system, id, node);
      await new Promise((resolve) => setTimeout(resolve, 150));
      scheduler.child.kill("SIGKILL");
      const read = async (id: string) => {
        const reply = await callNode(system.nodes[node], {
          method: "GET",
          path: `/proofs/${id}`,
        });
        return (reply.body as { state: string }).state;
      };

      await waitFor(async () => {
        const states = await Promise.all(ids.map(read));
        return states.every((state) => state === "completed");
      }, 15_000);
      checkDoneOnce(system);
    });
  });

  test("a scheduler that cannot reach the store is replaced, and no completed task runs again", async () => {
    await runOnNodes({ nodes: 3, workers: 3, runMs: 700 }, async (system) => {
      const scheduler = system.findScheduler();
      const node = system.nodes.findIndex((one) => one !== scheduler);
      const ids = Array.from({ length: 4 }, (_, index) => createId(index));
      for (const id of ids) await submit(system, id, node);
      scheduler.storeAccess.isClosed = true;

      await waitFor(async () => {
        const states = await Promise.all(ids.map(async (id) => {
          const path = `/proofs/${id}`;
          const reply = await callNode(system.nodes[node], {
            method: "GET",
            path,
          });
          return (reply.body as { state: string }).state;
        }));
        return states.every((state) => state === "completed");
      }, 20_000);
      checkDoneOnce(system);
    });
  });

  test("jobs are refused at once and not stored while the store is unavailable", async () => {
    await runOnNodes({ nodes: 2, workers: 2, runMs: 50 }, async (system) => {
      system.store.faults.status = 503;
      const reply = await submit(system, createId(1));
      system.store.faults.status = undefined;

      assert.equal(reply.status, 503);
      assert.ok(Number(reply.headers["retry-after"]) >= 1);
      assert.equal(await readState(system, createId(1)), 410);
    });
  });

  test("writes whose answers are lost lose no job and repeat no task", async () => {
    await runOnNodes({ nodes: 2, workers: 2, runMs: 50 }, async (system) => {
      system.store.faults.losesAnswers = true;
      const waiting = submit(system, createId(1));
      await new Promise((resolve) => setTimeout(resolve, 300));
      system.store.faults.losesAnswers = false;

      assert.equal((await waiting).status, 200);
      await waitFor(
        async () => await readState(system, createId(1)) === "completed",
        15_000,
      );
      checkDoneOnce(system);
    });
  });
});

/** Checks that every task was done exactly once. On a busy machine a start may go unanswered, and its task may have another run once the first is stopped. */
function checkEachDoneOnce(runs: Runs): void {
  const done = runs.filter(({ how }) => how === "done");
  assert.equal(done.length, JOB_TASKS);
  assert.equal(new Set(done.map(({ task }) => task)).size, JOB_TASKS);
  checkRunOverlap(runs, { isDoneFinal: true });
}

/** Checks that no task ran again after it was done. */
function checkDoneOnce(system: System): void {
  const runs = system.workers.flatMap(({ history }) => history);
  checkRunOverlap(runs, { isDoneFinal: true });
}
