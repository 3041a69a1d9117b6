import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { createPostHead } from "../fixtures/create_post_head.ts";
import { sendParts } from "../fixtures/send_parts.ts";
import { startNodes } from "../fixtures/start_nodes.ts";

const MAX_BODY_BYTES = 1_000_000;

/** Creates the body of a best-effort job, filled up to a number of bytes. */
function createBody(bytes: number): string {
  const body = JSON.stringify({
    spec: "{}",
    bestEffort: true,
    steps: [{ count: 1, cpu: 6_800, memMb: 64, estimateMs: 200 }],
    unknown: "",
  });
  return body.replace(
    'unknown":"',
    `unknown":"${"x".repeat(bytes - body.length)}`,
  );
}

describe("a single request, in calm", () => {
  let system: Awaited<ReturnType<typeof startNodes>>;
  before(async () => {
    system = await startNodes({
      nodes: 1,
      workers: 2,
      runMs: 30,
      limits: { memoryMb: 210, maxFds: 500 },
      maxBodyBytes: MAX_BODY_BYTES,
    });
  });
  after(() => system.stop());

  const send = (parts: string[]) =>
    sendParts(system.nodes[0].callerAddress, parts);

  test("a body at the limit is served, in one chunk", async () => {
    const body = createBody(MAX_BODY_BYTES);
    const size = body.length.toString(16);
    const head = createPostHead("transfer-encoding: chunked");
    const answer = await send([head, `${size}\r\n${body}\r\n0\r\n\r\n`]);
    assert.match(answer, /^HTTP\/1.1 200.*completed/s);
  });

  test("a body at the limit is served, in chunks of one byte", async () => {
    const chunks = createBody(MAX_BODY_BYTES).replace(/./g, "1\r\n$&\r\n");
    const head = createPostHead("transfer-encoding: chunked");
    const answer = await send([head, `${chunks}0\r\n\r\n`]);
    assert.match(answer, /^HTTP\/1.1 200.*completed/s);
  });

  test("a body at the limit is served, announced", async () => {
    const head = createPostHead(`content-length: ${MAX_BODY_BYTES}`);
    const answer = await send([head, createBody(MAX_BODY_BYTES)]);
    assert.match(answer, /^HTTP\/1.1 200.*completed/s);
  });

  for (
    const framing of ["transfer-encoding: chunked", "content-length: 10000000"]
  ) {
    test(`a body over the limit is refused while it is sent, with ${framing}`, async () => {
      const parts = [createPostHead(framing)];
      for (let sent = 0; sent < 100; sent += 1) {
        parts.push(`186a0\r\n${"x".repeat(100_000)}\r\n`);
      }
      const answer = await send(parts);
      assert.match(answer, /^HTTP\/1.1 413.*"notRun":true/s);
    });
  }
});
