import { describe, test } from "node:test";
import { runClusterCrowd } from "../fixtures/run_cluster_crowd.ts";

/** Bytes of a body that is held open; far below the entry's limit. */
const HELD_BYTES = 1_000_000;

function createHead(framing: string, path = "/v1/jobs"): string {
  return `POST ${path} HTTP/1.1\r\nhost: x\r\n` +
    `authorization: Bearer guild-token\r\n${framing}\r\n\r\n`;
}

function createChunks(bytes: number, count: number): string[] {
  const chunk = `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
  return Array.from({ length: count }, () => chunk);
}

describe("a crowd at the product's own entry that holds bodies open", () => {
  test("an entry bears held bodies in large chunks", async () => {
    const chunks = createChunks(HELD_BYTES / 10, 10);
    const parts = [createHead("transfer-encoding: chunked"), ...chunks];
    await runClusterCrowd("entry", () => ({ size: 300, parts }));
  });

  test("an entry bears held bodies that were announced", async () => {
    const head = createHead(`content-length: ${HELD_BYTES + 1}`);
    const parts = [head, "x".repeat(HELD_BYTES)];
    await runClusterCrowd("entry", () => ({ size: 300, parts }));
  });

  test("a control daemon bears held bodies in large chunks", async () => {
    const head = createHead("transfer-encoding: chunked", "/patches");
    const parts = [head, ...createChunks(HELD_BYTES / 10, 10)];
    await runClusterCrowd("control", () => ({ size: 300, parts }));
  });
});
