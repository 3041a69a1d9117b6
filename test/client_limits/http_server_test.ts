import assert from "node:assert/strict";
import { Hono } from "hono";
import { connect } from "node:net";
import type { Socket } from "node:net";
import {
  after,
  afterEach,
  before,
  beforeEach,
  describe,
  test,
} from "node:test";
import type { ClientGuard } from "../../src/client_limits/client_guard.ts";
import { createClientGuard } from "../../src/client_limits/create_client_guard.ts";
import { startHttpServer } from "../../src/http/start_http_server.ts";
import { waitFor } from "../fixtures/wait_for.ts";

const HEAD = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ";
const BODY = "x".repeat(7_000_000);

describe("an HTTP server within the limits of its process", () => {
  let guard: ClientGuard;
  let server: { port: number; stop(): Promise<void> };
  let served: string[];
  let counted: string[];
  let sockets: { socket: Socket; text: string }[];
  const release: (() => void)[] = [];
  let maxBodyBytes: number | undefined;

  before(async () => {
    guard = createClientGuard({
      // 20 connections and 8 MB of unfinished bodies.
      limits: { memoryMb: 64, maxFds: 240 },
      count: (reason) => counted.push(reason),
      report: () => {},
    });
    const app = new Hono();
    app.post("/", async (http) => {
      const length = (await http.req.text()).length;
      served.push(`body of ${length}`);
      return http.json({ length });
    });
    app.get("/wait", async (http) => {
      await new Promise<void>((resolve) => release.push(resolve));
      return http.text("waited");
    });
    app.get("/:name", (http) => {
      served.push(http.req.param("name"));
      if (http.req.param("name") === "last") http.header("connection", "close");
      return http.text(http.req.param("name"));
    });
    server = await startHttpServer(
      {
        app,
        readMaxBodyBytes: () => maxBodyBytes,
        formatRefusal: ({ reason }) => ({ reason, notRun: true }),
      },
      { address: "127.0.0.1:0", key: "test" },
      guard,
    );
  });
  beforeEach(() => {
    maxBodyBytes = 7_500_000;
    served = [];
    counted = [];
    sockets = [];
  });
  afterEach(async () => {
    for (const { socket } of sockets) socket.destroy();
    await waitFor(() => guard.readGauges().client_connections === 0);
  });
  after(() => server.stop());

  function send(text: string) {
    const client = { socket: connect(server.port, "127.0.0.1"), text: "" };
    client.socket.on("data", (chunk) => {
      client.text += chunk.toString();
    });
    client.socket.on("error", () => {});
    client.socket.write(text);
    sockets.push(client);
    return client;
  }

  const createGet = (path: string) => `GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`;

  test("a body is handed on whole, whether announced or in chunks", async () => {
    const announced = send(`${HEAD}3\r\n\r\nabc`);
    const chunked = send(
      "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n" +
        "1\r\na\r\n2\r\nbc\r\n1\r\nd\r\n0\r\n\r\n",
    );
    await waitFor(() => announced.text.includes('{"length":3}'));
    await waitFor(() => chunked.text.includes('{"length":4}'));
  });

  test("the holder of most memory is answered 503, not run, when another body needs it", async () => {
    const holder = send(`${HEAD}7000001\r\n\r\n${BODY}`);
    await waitFor(() => guard.readGauges().client_body_bytes >= 7_000_000);
    const other = send(`${HEAD}7000000\r\n\r\n${BODY}`);

    await waitFor(() => other.text.includes('{"length":7000000}'));
    await waitFor(() => holder.socket.closed);
    assert.match(
      holder.text,
      /^HTTP\/1.1 503.*retry-after: 1.*"notRun":true/is,
    );
    assert.deepEqual(served, ["body of 7000000"]);
    assert.deepEqual(counted, ["unfinishedBodies"]);
  });

  test("a client that leaves within its body gives its memory back", async () => {
    const { socket } = send(`${HEAD}7000001\r\n\r\n${BODY}`);
    await waitFor(() => guard.readGauges().client_body_bytes >= 7_000_000);
    socket.destroy();

    await waitFor(() => guard.readGauges().client_body_bytes === 0);
    assert.deepEqual(served, []);
  });

  test("while no body is received, a request with an endless one is answered, and the connection closed", async () => {
    maxBodyBytes = undefined;
    const client = send(
      `PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 9000000\r\n\r\n${BODY}`,
    );

    await waitFor(() => client.socket.closed);
    assert.match(client.text, /^HTTP\/1.1 404/);
    assert.equal(guard.readGauges().client_body_bytes, 0);
  });

  test("requests sent ahead are taken one after the other, and answered in their order", async () => {
    const client = send(["/wait", "/a", "/b"].map(createGet).join(""));
    await waitFor(() => guard.readGauges().client_queued_requests === 2);
    assert.deepEqual(served, []);
    release.pop()?.();

    await waitFor(() => /waitedHTTP.*\naHTTP.*\nb$/s.test(client.text));
    assert.equal(guard.readGauges().client_queued_requests, 0);
  });

  test("a connection with too many requests sent ahead is closed, and its places are free again", async () => {
    const client = send(createGet("/wait") + createGet("/a").repeat(17));
    await waitFor(() => client.socket.closed);

    assert.equal(client.text, "");
    assert.deepEqual(counted, ["queuedRequests"]);
    await waitFor(() => guard.readGauges().client_queued_requests === 0);
    release.pop()?.();
  });

  test("a connection that sends a chunked body ahead is closed", async () => {
    const chunked = "POST / HTTP/1.1\r\nhost: x\r\n" +
      "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n";
    const client = send(createGet("/wait") + chunked);
    await waitFor(() => client.socket.closed);

    assert.deepEqual(counted, ["queuedRequests"]);
    release.pop()?.();
  });

  test("a request that can't be parsed is not answered in place of one that runs", async () => {
    const client = send(createGet("/wait"));
    await waitFor(() => release.length === 1);
    client.socket.write("malformed\r\n\r\n");
    await waitFor(() => client.socket.closed);

    assert.equal(client.text, "");
    assert.deepEqual(counted, ["malformed"]);
    release.pop()?.();
  });

  test("requests with an unknown expectation count as others sent ahead", async () => {
    const request = "GET /a HTTP/1.1\r\nhost: x\r\nexpect: other\r\n\r\n";
    const single = send(request);
    await waitFor(() => single.text.endsWith("\na"));

    const client = send(createGet("/wait") + request.repeat(17));
    await waitFor(() => client.socket.closed);
    assert.deepEqual(counted, ["queuedRequests"]);
    release.pop()?.();
  });

  test("requests behind an answer that closes the connection are not run", async () => {
    const client = send(createGet("/last") + createGet("/a").repeat(2));
    await waitFor(() => client.socket.closed);

    assert.deepEqual(served, ["last"]);
    assert.equal(guard.readGauges().client_queued_requests, 0);
  });

  test("a newcomer is served while a crowd holds all connections", async () => {
    for (let count = 0; count < 30; count += 1) send("GET /a");
    await waitFor(() => counted.length >= 10);
    const newcomer = send(createGet("/a"));

    await waitFor(() => newcomer.text.endsWith("a"));
    assert.equal(guard.readGauges().client_connections, 20);
  });

  test("a request without a host is refused, and the connection closed", async () => {
    const client = send("GET /a HTTP/1.1\r\n\r\n");
    await waitFor(() => client.socket.closed);

    assert.match(client.text, /^HTTP\/1.1 400/);
    assert.deepEqual(served, []);
  });

  test("headers over the limit are refused, and the connection closed", async () => {
    const client = send(`GET /a HTTP/1.1\r\nh: ${"x".repeat(20_000)}\r\n\r\n`);
    await waitFor(() => client.socket.closed);

    assert.match(client.text, /^HTTP\/1.1 431/);
    assert.deepEqual(counted, ["headersTooLarge"]);
  });
});
