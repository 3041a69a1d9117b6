import assert from "node:assert/strict";
import { test } from "node:test";
import { callNode } from "../fixtures/call_node.ts";
import { checkAfterCrowd } from "../fixtures/check_after_crowd.ts";
import { createId } from "../fixtures/create_id.ts";
import { createPostHead } from "../fixtures/create_post_head.ts";
import { openCrowd } from "../fixtures/open_crowd.ts";
import { runOnNodes } from "../fixtures/run_on_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

const LIMITS = { memoryMb: 210, maxFds: 500 };
const PART_BYTES = 1_000_000;
const PARTS = 300;

test("a node without a configuration bears a body that does not end", async () => {
  const system = { nodes: 1, workers: 1, runMs: 30, limits: LIMITS };
  await runOnNodes(system, async ({ nodes: [node], store, restartAll }) => {
    store.remove("op", "config");
    const started = node.logs.length;
    await restartAll();
    await waitFor(() =>
      Promise.resolve(
        node.logs.slice(started).some(({ event }) => event === "serving"),
      )
    );
    const size = PART_BYTES.toString(16);
    const parts = [createPostHead("transfer-encoding: chunked")];
    const chunk = `${size}\r\n${"x".repeat(PART_BYTES)}\r\n`;
    for (let sent = 0; sent < PARTS; sent += 1) parts.push(chunk);
    const members = await openCrowd(node.callerAddress, { size: 1, parts });
    try {
      await checkAfterCrowd(node.child.pid as number, LIMITS, async () => {
        const answer = await callNode(node, {
          method: "POST",
          path: `/proofs/${createId(1)}`,
          body: {},
        });
        return answer.status === 503;
      });
    } finally {
      members.close();
    }
    assert.equal(node.child.exitCode, null);
  });
});
