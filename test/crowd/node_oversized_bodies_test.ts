import { describe, test } from "node:test";
import { createPostHead } from "../fixtures/create_post_head.ts";
import { runNodeCrowd } from "../fixtures/run_node_crowd.ts";

/** A part of a body, in bytes; the limit is ten of them. */
const PART_BYTES = 100_000;
const PARTS = 100;

describe("a crowd that sends bodies far over the limit", () => {
  test("a node bears bodies over the limit that are announced", async () => {
    const parts = [createPostHead(`content-length: ${PART_BYTES * PARTS}`)];
    for (let sent = 0; sent < PARTS; sent += 1) {
      parts.push("x".repeat(PART_BYTES));
    }
    await runNodeCrowd({ size: 500, parts });
  });

  test("a node bears bodies over the limit in chunks", async () => {
    const parts = [createPostHead("transfer-encoding: chunked")];
    const size = PART_BYTES.toString(16);
    const chunk = `${size}\r\n${"x".repeat(PART_BYTES)}\r\n`;
    for (let sent = 0; sent < PARTS; sent += 1) parts.push(chunk);
    await runNodeCrowd({ size: 500, parts });
  });

  test("a node bears bodies over the limit in one chunk", async () => {
    const head = createPostHead("transfer-encoding: chunked");
    const parts = [head, "fffffff\r\n"];
    for (let sent = 0; sent < PARTS; sent += 1) {
      parts.push("x".repeat(PART_BYTES));
    }
    await runNodeCrowd({ size: 500, parts });
  });
});
