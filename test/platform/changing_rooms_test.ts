import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { callNode } from "../fixtures/call_node.ts";
import { createId } from "../fixtures/create_id.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;

/** Capacity of a worker, and one that two, one and none of the tasks fit, in thousandths of a core. */
const FULL_CPU = 14_000;
const ONE_TASK_CPU = 7_000;
const NO_TASK_CPU = 1_000;
/** Time in which the scheduler and the VMs have read a changed row, in ms: the longest interval and a margin. */
const ROWS_READ_MS = 3_500;

function submit(system: System, id: string, count: number) {
  return callNode(system.nodes[0], {
    method: "POST",
    path: `/proofs/${id}`,
    body: {
      spec: "{}",
      steps: [{ count, cpu: 6_800, memMb: 64, estimateMs: 100 }],
    },
  });
}

async function waitUntilCompleted(system: System, id: string): Promise<void> {
  await waitFor(async () => {
    const reply = await callNode(system.nodes[0], {
      method: "GET",
      path: `/proofs/${id}`,
    });
    return (reply.body as { state?: string })?.state === "completed";
  });
}

function setAll(system: System, cpu: number): Promise<void> {
  system.workers.forEach((_, index) => system.setCpu(index, cpu));
  return new Promise((resolve) => setTimeout(resolve, ROWS_READ_MS));
}

describe("workers whose capacity shrinks and grows", () => {
  let system: System;
  before(async () => {
    system = await startNodes({ nodes: 2, workers: 2, runMs: 100 });
    for (const { faults } of system.workers) faults.isUnguarded = true;
  });
  after(() => system.stop());

  test("no start exceeds the capacity of a worker that would accept it", async () => {
    await setAll(system, ONE_TASK_CPU);
    await submit(system, createId(1), 8);
    await waitUntilCompleted(system, createId(1));
    await setAll(system, FULL_CPU);
    await submit(system, createId(2), 8);
    await waitUntilCompleted(system, createId(2));

    const starts = system.workers.flatMap(({ history }) => history);
    assert.equal(starts.length, 16);
    assert.deepEqual(starts.filter((start) => start.isOverCapacity), []);
  });

  // Jobs were refused as if they fitted no endpoint, which callers take for final.
  test("a job that fits no worker until the capacity grows again is accepted, and completes then", async () => {
    await setAll(system, NO_TASK_CPU);
    const reply = await submit(system, createId(3), 2);
    assert.equal(reply.status, 200);

    await setAll(system, FULL_CPU);
    await waitUntilCompleted(system, createId(3));
  });
});
