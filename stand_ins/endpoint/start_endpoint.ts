import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EndpointBehaviour } from "./endpoint_behaviour.ts";
import type { EndpointRecord } from "./endpoint_record.ts";

/** Run time of a task whose body has no `runMs`, in ms. */
const DEFAULT_RUN_MS = 50;

/** Task starts and request counts of an endpoint stand-in. */
type EndpointLog = {
  records: EndpointRecord[];
  refusals: number;
  requests: number;
  cancels: number;
  mostConnections: number;
  mostRunning: number;
};

/**
 * Starts an endpoint stand-in on a port (0 for a free one). The body of a task
 * may set `runMs` and `fail`. GET /log returns the log, GET /counts the log with
 * the number of starts in place of the records; PUT /behaviour changes the behaviour.
 */
export async function startEndpoint(
  port: number,
  behaviour: EndpointBehaviour,
): Promise<{
  url: string;
  behaviour: EndpointBehaviour;
  log: EndpointLog;
  stop(): Promise<void>;
}> {
  const log: EndpointLog = {
    records: [],
    refusals: 0,
    requests: 0,
    cancels: 0,
    mostConnections: 0,
    mostRunning: 0,
  };
  const cancelRunning = new Map<string, () => void>();
  const queuedTasks: (() => void)[] = [];
  let openConnections = 0;

  async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (request.url === "/log") return send(response, 200, log);
    if (request.url === "/behaviour") {
      Object.assign(behaviour, JSON.parse(body));
      return send(response, 200, behaviour);
    }
    if (request.url === "/counts") {
      const { records, ...counts } = log;
      return send(response, 200, { ...counts, starts: records.length });
    }
    if (request.method === "DELETE") return cancelTask(request, response);
    log.requests += 1;
    runTask(request, response, body);
  }

  function cancelTask(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    log.cancels += 1;
    const key = (request.url ?? "").split("/").at(-1) ?? "";
    cancelRunning.get(decodeURIComponent(key))?.();
    send(response, 200, {});
  }

  function runTask(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const isFull = cancelRunning.size >= behaviour.slots;
    if (isFull && behaviour.overflow === "queue") {
      queuedTasks.push(() => runTask(request, response, body));
      return;
    }
    if (behaviour.mode === "refuse" || isFull) {
      log.refusals += 1;
      return send(response, 429, {
        status: "refused",
        message: "no free slot",
      });
    }
    const idempotencyKey = String(request.headers["idempotency-key"] ?? "");
    const taskKey = decodeURIComponent(idempotencyKey);
    const record: EndpointRecord = {
      taskKey,
      attempt: Number(request.headers["x-task-attempt"]),
      startedAtMs: Date.now(),
      outcome: "running",
    };
    log.records.push(record);
    if (behaviour.mode === "fail") {
      record.outcome = "failed";
      return send(response, 500, { status: "failed", message: "broken" });
    }
    const task = JSON.parse(body || "null") ?? {};
    const runMs = (task.runMs ?? DEFAULT_RUN_MS) * behaviour.slowness;
    const timer = setTimeout(
      () => endTask(task.fail ? "failed" : "done"),
      runMs,
    );
    const endTask = (outcome: EndpointRecord["outcome"]) => {
      clearTimeout(timer);
      cancelRunning.delete(taskKey);
      queuedTasks.shift()?.();
      record.outcome = outcome;
      if (behaviour.mode === "hang") return;
      if (outcome === "done") sendDone();
      else send(response, 500, { status: "failed", message: outcome });
    };
    const sendDone = () =>
      send(response, 200, { ran: task.value ?? null, endedAtMs: Date.now() });
    cancelRunning.set(taskKey, () => endTask("cancelled"));
    log.mostRunning = Math.max(log.mostRunning, cancelRunning.size);
  }

  const server = createServer((request, response) => {
    handleRequest(request, response);
  });
  server.keepAliveTimeout = 30_000;
  server.on("connection", (socket) => {
    openConnections += 1;
    log.mostConnections = Math.max(log.mostConnections, openConnections);
    socket.on("close", () => openConnections -= 1);
  });
  await new Promise<void>((resolve) => {
    server.listen(port, "127.0.0.1", resolve);
  });
  const address = server.address() as { port: number };
  return {
    url: `http://127.0.0.1:${address.port}/tasks`,
    behaviour,
    log,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function send(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}
