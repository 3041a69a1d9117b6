import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import { describe, test } from "node:test";
import { createEndpointSender } from "../../src/endpoint/create_endpoint_sender.ts";
import type { TaskSend } from "../../src/endpoint/task_send.ts";

const TASK: TaskSend = {
  taskKey: "guild/one/0",
  attempt: 1,
  service: "proof",
  body: '{"page":1}',
  timeoutMs: 500,
  mayStart: () => true,
};

/** Starts a TCP server that calls `answer` for each chunk of data it receives and keeps the chunks as text. */
async function startServer(
  answer: (socket: Socket) => void,
): Promise<{ url: string; requests: string[]; stop(): void }> {
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => {
      requests.push(String(data));
      answer(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  return {
    url: `http://127.0.0.1:${port}/tasks`,
    requests,
    stop: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

async function sendTo(
  answer: (socket: Socket) => void,
  task: Partial<TaskSend> = {},
) {
  const server = await startServer(answer);
  const sender = createEndpointSender(server.url, {
    connections: 1,
    maxReplyBytes: 1_000,
  });
  const outcome = await sender.send({ ...TASK, ...task });
  await sender.close();
  server.stop();
  return { outcome, requests: server.requests };
}

function reply(status: string, body: string, length = body.length) {
  return (socket: Socket) =>
    socket.end(
      `HTTP/1.1 ${status}\r\nContent-Length: ${length}\r\n\r\n${body}`,
    );
}

describe("sending a task", () => {
  test("the request has headers for the task key, the attempt and the remaining time", async () => {
    const { requests } = await sendTo(reply("200 OK", "1"));

    assert.match(requests[0], /^POST \/tasks /);
    assert.match(requests[0], /idempotency-key: guild%2Fone%2F0/);
    assert.match(requests[0], /x-task-attempt: 1/);
    assert.match(requests[0], /x-task-timeout-ms: 500/);
  });

  test("a whole JSON reply is the result", async () => {
    const { outcome } = await sendTo(reply("200 OK", '{"a":1}'));

    assert.deepEqual(outcome, { type: "done", result: '{"a":1}' });
  });

  test("a refusal proves that the task did not start", async () => {
    const body = '{"status":"refused","message":"full"}';

    const { outcome } = await sendTo(reply("429 Too Many Requests", body));

    assert.deepEqual(outcome, { type: "refused", message: "full" });
  });

  test("an error reply proves that the task ended", async () => {
    const { outcome } = await sendTo(
      reply("500 Internal Server Error", '{"message":"no ink"}'),
    );

    assert.deepEqual(outcome, { type: "failed", message: "no ink" });
  });

  for (
    const [name, answer] of Object.entries({
      "a truncated reply": reply("200 OK", '{"a":', 100),
      "a reply that is not JSON": reply("200 OK", "hello"),
      "an oversized reply": reply("200 OK", `"${"x".repeat(2_000)}"`),
      "a gateway's error": reply("502 Bad Gateway", "{}"),
      "a lost connection": (socket: Socket) => socket.destroy(),
      "a slow reply": () => {},
      "bytes that are not HTTP": (socket: Socket) => socket.end("nonsense"),
    })
  ) {
    test(`${name} leaves the outcome unknown`, async () => {
      const { outcome } = await sendTo(answer, { timeoutMs: 200 });

      assert.equal(outcome.type, "unknown");
    });
  }

  test("a task that may no longer start is not sent", async () => {
    const { outcome, requests } = await sendTo(reply("200 OK", "1"), {
      mayStart: () => false,
    });

    assert.equal(outcome.type, "neverSent");
    assert.deepEqual(requests, []);
  });

  test("a refused connection proves that the task did not start", async () => {
    const server = await startServer(() => {});
    server.stop();
    const sender = createEndpointSender(server.url, {
      connections: 1,
      maxReplyBytes: 1_000,
    });

    const outcome = await sender.send(TASK);

    assert.equal(outcome.type, "neverSent");
    await sender.close();
  });

  test("a task that times out while it waits for a connection is not sent later", async () => {
    const held: Socket[] = [];
    const server = await startServer((socket) => held.push(socket));
    const sender = createEndpointSender(server.url, {
      connections: 1,
      maxReplyBytes: 1_000,
    });
    const first = sender.send({ ...TASK, timeoutMs: 1_000 });

    const second = await sender.send({
      ...TASK,
      taskKey: "guild/two/0",
      timeoutMs: 100,
    });
    reply("200 OK", "1")(held[0]);
    assert.equal((await first).type, "done");
    await new Promise((resolve) => setTimeout(resolve, 200));

    assert.equal(second.type, "neverSent");
    assert.equal(server.requests.length, 1);
    await sender.close();
    server.stop();
  });
});
