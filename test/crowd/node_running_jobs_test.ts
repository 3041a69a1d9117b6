import { describe, test } from "node:test";
import { createId } from "../fixtures/create_id.ts";
import { createPostHead } from "../fixtures/create_post_head.ts";
import { runNodeCrowd } from "../fixtures/run_node_crowd.ts";

/** Bytes of a submission that is filled up; below the limit. */
const FILLED_BYTES = 990_000;
const BYTE_CHUNK = "1\r\nx\r\n";

/** Creates the submission of a job that runs until its caller's time is over, filled up to a number of bytes. */
function createSubmission(index: number, bytes: number): string {
  const job = JSON.stringify({
    spec: "{}",
    bestEffort: true,
    steps: [{ count: 100, cpu: 6_800, memMb: 64, estimateMs: 200 }],
    unknown: "",
  });
  const filling = "x".repeat(Math.max(0, bytes - job.length));
  const body = job.replace('unknown":"', `unknown":"${filling}`);
  return `POST /proofs/${
    createId(1_000_000 + index)
  } HTTP/1.1\r\nhost: layout.example\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

describe("a crowd whose jobs run", () => {
  test("a node bears bodies in chunks of one byte that are sent ahead", async () => {
    const head = createPostHead("transfer-encoding: chunked");
    const chunks = Array.from({ length: 20 }, () => BYTE_CHUNK.repeat(1_000));
    await runNodeCrowd({
      size: 60,
      parts: (index) => [createSubmission(index, 0), head, ...chunks],
    });
  });

  test("a node bears whole bodies whose jobs wait", async () => {
    await runNodeCrowd({
      size: 200,
      parts: (index) => [createSubmission(index, FILLED_BYTES)],
    });
  });
});
