import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { callNode } from "../fixtures/call_node.ts";
import { checkRunOverlap } from "../fixtures/check_run_overlap.ts";
import { createId } from "../fixtures/create_id.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;

const TASKS = 2;
const JOB = {
  spec: "{}",
  steps: [{ count: TASKS, cpu: 6_800, memMb: 64, estimateMs: 100 }],
};
/** Time in which the stored jobs of a lost group are taken over and run, in ms. */
const RUN_WITHIN_MS = 20_000;

// No stored job of the whole deployment ran once the VMs of the first group were lost.
describe("stored jobs when all VMs of their group are lost", () => {
  let system: System;
  before(async () => {
    system = await startNodes({
      nodes: 3,
      workers: 4,
      runMs: 100,
      dataCentres: {
        nodes: ["dc-a", "dc-b", "dc-b"],
        workers: ["dc-a", "dc-a", "dc-b", "dc-b"],
      },
    });
  });
  after(() => system.stop());

  async function submit(index: number): Promise<string> {
    const id = createId(index);
    const path = `/proofs/${id}`;
    await waitFor(async () => {
      const call = { method: "POST", path, body: JOB };
      return (await callNode(system.nodes[1], call)).status === 200;
    });
    return id;
  }

  async function readState(id: string): Promise<unknown> {
    const call = { method: "GET", path: `/proofs/${id}` };
    const { body } = await callNode(system.nodes[1], call);
    return (body as { state?: string }).state;
  }

  async function checkCompleted(id: string): Promise<void> {
    await waitFor(
      async () => await readState(id) === "completed",
      RUN_WITHIN_MS,
    );
    const runs = system.workers.flatMap(({ history }) => history)
      .filter(({ task }) => task.startsWith(id));
    checkRunOverlap(runs, { isDoneFinal: true });
    const done = runs.filter(({ how }) => how === "done");
    assert.equal(done.length, TASKS);
  }

  function findGroup(): unknown {
    const row = system.store.read("chivegrade-beat", "scheduler-stored-jobs");
    return (row as { group?: string } | undefined)?.group;
  }

  test("they run in the first group while it has a VM", async () => {
    await checkCompleted(await submit(1));
    assert.equal(findGroup(), undefined);
  });

  test("another group runs them, those that were open as well", async () => {
    system.nodes[0].child.kill("SIGKILL");
    await system.nodes[0].exited;

    const first = await submit(2);
    await checkCompleted(first);
    assert.equal(findGroup(), "dc-b");
    await checkCompleted(await submit(3));
  });

  test("they stay there when the lost group is back, and run once", async () => {
    Object.assign(system.nodes[0], system.nodes[0].launch());
    await waitFor(() =>
      system.nodes[0].logs.filter(({ event }) => event === "schedulerBegan")
        .length > 1
    );
    for (let index = 4; index < 8; index += 1) {
      await checkCompleted(await submit(index));
    }
    assert.equal(findGroup(), "dc-b");
  });

  test("they return when the group that has them is lost in turn", async () => {
    for (const { child } of system.nodes.slice(1)) child.kill("SIGKILL");
    await Promise.all(system.nodes.slice(1).map(({ exited }) => exited));
    system.nodes.splice(1, 1, system.nodes[0]);

    await checkCompleted(await submit(8));
    assert.equal(findGroup(), "dc-a");
  });
});
