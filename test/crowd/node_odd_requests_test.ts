import { describe, test } from "node:test";
import { createPostHead } from "../fixtures/create_post_head.ts";
import { runNodeCrowd } from "../fixtures/run_node_crowd.ts";

const LINES = "host: layout.example\r\n";

/** Requests that no client of the pages sends, by what is odd about them. */
const ODD_REQUESTS = [
  `GET /proofs/ HTTP/1.0\r\n\r\n`,
  `GET /proofs/ HTTP/1.1\r\n\r\n`,
  `GET /proofs/ HTTP/9.9\r\n${LINES}\r\n`,
  `GET http://layout.example/proofs/ HTTP/1.1\r\n${LINES}\r\n`,
  `GET http://% HTTP/1.1\r\n${LINES}\r\n`,
  `GET //%00 HTTP/1.1\r\nhost: :::/@\r\n\r\n`,
  `CONNECT layout.example:1 HTTP/1.1\r\n${LINES}\r\n`,
  `TRACE /proofs/ HTTP/1.1\r\n${LINES}\r\n`,
  `OPTIONS * HTTP/1.1\r\n${LINES}\r\n`,
  `GET /proofs/ HTTP/1.1\r\n${LINES}connection: upgrade\r\nupgrade: websocket\r\n\r\n`,
  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
  createPostHead("expect: 100-continue\r\ncontent-length: 10"),
  createPostHead("expect: other\r\ncontent-length: 10"),
  createPostHead("transfer-encoding: chunked\r\ncontent-length: 10"),
  createPostHead("transfer-encoding: chunked") + "z\r\n",
  createPostHead("transfer-encoding: chunked") + "fffffffffffffffff\r\n",
  createPostHead("content-length: -1"),
  createPostHead("content-length: 1\r\ncontent-length: 2"),
  createPostHead("content-length: 99999999999999999999"),
  createPostHead("content-encoding: gzip\r\ncontent-length: 2") + "{}",
  "\r\n".repeat(1_000),
  "\0".repeat(1_000),
];

describe("a crowd that sends odd requests", () => {
  for (const isReading of [true, false]) {
    test(
      isReading
        ? "a node bears odd requests whose answers are read"
        : "a node bears odd requests whose answers are not read",
      async () => {
        await runNodeCrowd({
          size: 10 * ODD_REQUESTS.length,
          parts: (index) => [ODD_REQUESTS[index % ODD_REQUESTS.length]],
          isReading,
        });
      },
    );
  }
});
