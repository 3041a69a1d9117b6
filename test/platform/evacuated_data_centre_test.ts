import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { callNode } from "../fixtures/call_node.ts";
import { checkRunOverlap } from "../fixtures/check_run_overlap.ts";
import { createId } from "../fixtures/create_id.ts";
import { postJob } from "../fixtures/post_job.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import type { TestNode } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;

const JOBS = 10;
const STORED_JOB = {
  spec: "{}",
  steps: [{ count: 2, cpu: 6_800, memMb: 64, estimateMs: 100 }],
};
/** Time in which stored jobs move to another group and run there, in ms. */
const MOVED_WITHIN_MS = 15_000;

describe("a data centre that an operator evacuates, with a group of its own", () => {
  let system: System;
  let lastId = 0;
  before(async () => {
    system = await startNodes({
      nodes: 3,
      workers: 4,
      runMs: 50,
      evacuateMs: 5_000,
      dataCentres: {
        nodes: ["dc-a", "dc-b", "dc-b"],
        workers: ["dc-a", "dc-a", "dc-b", "dc-b"],
      },
    });
    await waitFor(async () => {
      const replies = await Promise.all(
        [0, 1].map((index) => post(system.nodes[index])),
      );
      return replies.every(({ status }) => status === 200);
    });
  });
  after(() => system.stop());

  function post(node: TestNode) {
    lastId += 1;
    return postJob(node, createId(lastId));
  }

  /** Counts all starts at the workers of the first data centre. */
  function countStarts(): number {
    return system.workers.slice(0, 2)
      .reduce((sum, { history }) => sum + history.length, 0);
  }

  async function waitForLog(node: TestNode, event: string): Promise<void> {
    const isLogged = () =>
      node.logs.some((line) =>
        line.event === event && line.dataCentre === "dc-a"
      );
    await waitFor(isLogged);
  }

  async function evacuate(): Promise<void> {
    system.store.put("op", "evacuate/dc-a", {});
    for (const node of system.nodes) {
      await waitForLog(node, "dataCentreEvacuated");
    }
    await waitForLog(system.nodes[0], "dataCentreEmptied");
  }

  async function submitStored(node: TestNode): Promise<string> {
    lastId += 1;
    const id = createId(lastId);
    const path = `/proofs/${id}`;
    await waitFor(async () => {
      const call = { method: "POST", path, body: STORED_JOB };
      return (await callNode(node, call)).status === 200;
    });
    return id;
  }

  async function waitForCompletion(id: string): Promise<void> {
    const call = { method: "GET", path: `/proofs/${id}` };
    await waitFor(async () => {
      const { body } = await callNode(system.nodes[1], call);
      return (body as { state?: string }).state === "completed";
    }, MOVED_WITHIN_MS);
  }

  test("stored jobs of its group, also those that run, are completed, each task once", async () => {
    const ids: string[] = [];
    for (let index = 0; index < JOBS; index += 1) {
      if (index === JOBS / 2) system.store.put("op", "evacuate/dc-a", {});
      ids.push(await submitStored(system.nodes[index % system.nodes.length]));
    }
    for (const id of ids) await waitForCompletion(id);
    const row = system.store.read("chivegrade-beat", "scheduler-stored-jobs");
    assert.deepEqual(row, { group: "dc-b" });
    const runs = system.workers.flatMap(({ history }) => history)
      .filter(({ task }) => ids.some((id) => task.startsWith(id)));
    checkRunOverlap(runs, { isDoneFinal: true });
    const done = runs.filter(({ how }) => how === "done");

    assert.equal(done.length, ids.length * STORED_JOB.steps[0].count);
  });

  test("its callers are served, and nothing starts there", async () => {
    await evacuate();
    const starts = countStarts();
    for (let index = 0; index < JOBS; index += 1) {
      assert.equal((await post(system.nodes[0])).status, 200);
    }

    assert.equal(countStarts(), starts);
  });

  test("the metrics of each VM say that it is evacuated, and those of the scheduler what runs there", async () => {
    const texts = await Promise.all(system.nodes.map(async (node) => {
      const reply = await fetch(`http://${node.metricsAddress}/metrics`);
      return await reply.text();
    }));

    for (const text of texts) {
      assert.match(
        text,
        /chivegrade_evacuated_for_ms\{data_centre="dc-a"\} \d/,
      );
    }
    assert.match(
      texts[0],
      /chivegrade_evacuated_running_tasks\{data_centre="dc-a"\} 0/,
    );
  });

  test("a VM that starts there during the evacuation starts nothing there", async () => {
    const [node] = system.nodes;
    node.child.kill("SIGKILL");
    await node.exited;
    node.logs.length = 0;
    Object.assign(node, node.launch());
    const starts = countStarts();
    await waitFor(() => node.logs.some(({ event }) => event === "linked"));
    await waitFor(async () => (await post(node)).status === 200);
    for (let index = 0; index < JOBS; index += 1) {
      assert.equal((await post(node)).status, 200);
    }

    assert.equal(countStarts(), starts);
    await waitForLog(node, "dataCentreEvacuated");
  });

  test("with all data centres evacuated each job is refused at once as not run", async () => {
    system.store.put("op", "evacuate/dc-b", "not JSON");
    for (const node of system.nodes) {
      await waitFor(async () => (await post(node)).status === 503);
      const reply = await post(node);

      assert.equal(reply.status, 503);
      assert.deepEqual(reply.body, { error: "evacuated", notRun: true });
      assert.ok(Number(reply.headers["retry-after"]) > 0);
    }
  });

  test("once they are taken back, work returns", async () => {
    const starts = countStarts();
    system.store.remove("op", "evacuate/dc-a");
    system.store.remove("op", "evacuate/dc-b");
    await waitFor(async () => {
      const replies = await Promise.all(system.nodes.map(post));
      return replies.every(({ status }) => status === 200) &&
        countStarts() > starts;
    });
  });
});
