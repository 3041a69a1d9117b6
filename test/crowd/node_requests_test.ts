import { describe, test } from "node:test";
import { createId } from "../fixtures/create_id.ts";
import { runNodeCrowd } from "../fixtures/run_node_crowd.ts";

const JOB = JSON.stringify({
  spec: "{}",
  bestEffort: true,
  steps: [{ count: 1, cpu: 6_800, memMb: 64, estimateMs: 200 }],
});

function createRequests(
  count: number,
  create: (index: number) => string,
): string[] {
  const requests = Array.from({ length: count }, (_, index) => create(index));
  return [requests.join("")];
}

describe("a crowd that sends requests ahead and reads no answer", () => {
  test("a node bears queries sent ahead", async () => {
    const parts = createRequests(
      10_000,
      (index) =>
        `GET /proofs/${
          createId(index)
        } HTTP/1.1\r\nhost: layout.example\r\n\r\n`,
    );
    await runNodeCrowd({ size: 40, parts });
  });

  test("a node bears queries sent ahead without a host", async () => {
    const parts = createRequests(
      10_000,
      (index) => `GET /proofs/${createId(index)} HTTP/1.1\r\n\r\n`,
    );
    await runNodeCrowd({ size: 40, parts });
  });

  test("a node bears submissions sent ahead without their usual headers", async () => {
    const parts = createRequests(
      2_000,
      (index) =>
        `POST /proofs/${createId(index)} HTTP/1.1\r\nhost: layout.example\r\n` +
        `content-length: ${JOB.length}\r\n\r\n${JOB}`,
    );
    await runNodeCrowd({ size: 40, parts });
  });

  test("a node bears slow readers of its metrics", async () => {
    const parts = createRequests(
      5_000,
      () => "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n",
    );
    await runNodeCrowd(
      { size: 20, parts },
      ({ metricsAddress }) => metricsAddress,
    );
  });
});
