import { describe, test } from "node:test";
import { createPostHead } from "../fixtures/create_post_head.ts";
import { runNodeCrowd } from "../fixtures/run_node_crowd.ts";

/** The largest body that the crowd may send, in bytes, less a little that it never sends. */
const HELD_BYTES = 990_000;
const BYTE_CHUNK = "1\r\nx\r\n";

function createChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
}

describe("a crowd that holds bodies open just short of their end", () => {
  test("a node bears held bodies in large chunks", async () => {
    const chunk = createChunk(HELD_BYTES / 10);
    const parts = [createPostHead("transfer-encoding: chunked")];
    for (let sent = 0; sent < 10; sent += 1) parts.push(chunk);
    await runNodeCrowd({ size: 200, parts });
  });

  test("a node bears held bodies in chunks of one byte", async () => {
    const parts = [createPostHead("transfer-encoding: chunked")];
    for (let sent = 0; sent < 20; sent += 1) {
      parts.push(BYTE_CHUNK.repeat(1_000));
    }
    await runNodeCrowd({ size: 600, parts });
  });

  test("a node bears held bodies that were announced", async () => {
    const head = createPostHead(`content-length: ${HELD_BYTES + 1}`);
    await runNodeCrowd({ size: 200, parts: [head, "x".repeat(HELD_BYTES)] });
  });
});
