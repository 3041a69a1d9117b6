import { describe, test } from "node:test";
import { createPostHead } from "../fixtures/create_post_head.ts";
import { runNodeCrowd } from "../fixtures/run_node_crowd.ts";

const GET_HEAD = "GET /proofs/ HTTP/1.1\r\nhost: layout.example\r\n";

describe("a crowd of connections", () => {
  test("a node bears connections that send nothing", async () => {
    await runNodeCrowd({ size: 800, parts: [] });
  });

  test("a node bears connections that stop within their headers", async () => {
    const header = `a: ${"x".repeat(12_000)}\r\n`;
    await runNodeCrowd({ size: 800, parts: [GET_HEAD, header] });
  });

  test("a node bears connections that stop before their bodies", async () => {
    const parts = [createPostHead("content-length: 100")];
    await runNodeCrowd({ size: 800, parts });
  });
});

describe("a crowd with fat headers", () => {
  test("a node bears headers over the limit", async () => {
    const header = `a: ${"x".repeat(100_000)}\r\n`;
    await runNodeCrowd({ size: 200, parts: [GET_HEAD, header, "\r\n"] });
  });

  test("a node bears very many small headers without an end", async () => {
    const parts = [GET_HEAD];
    for (let sent = 0; sent < 900; sent += 1) {
      parts.push(`h${sent}: v${sent}\r\n`);
    }
    await runNodeCrowd({ size: 800, parts: [parts.join("")] });
  });

  test("a node bears trailers without an end", async () => {
    const parts = [createPostHead("transfer-encoding: chunked"), "0\r\n"];
    for (let sent = 0; sent < 100; sent += 1) parts.push("a:\r\n".repeat(100));
    await runNodeCrowd({ size: 800, parts });
  });
});
