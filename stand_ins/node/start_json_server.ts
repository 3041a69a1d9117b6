import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";

/** Reply of a stand-in. `silent` leaves the request unanswered. */
type Reply = { status: number; body?: unknown } | "silent";

/** Starts an HTTP server on a free loopback port whose requests and replies have JSON bodies. */
export function startJsonServer(
  handle: (
    request: { method: string; url: URL; body: unknown; headers: Headers },
  ) => Reply | Promise<Reply>,
): Promise<{ address: string; stop(): Promise<void> }> {
  const server = createServer(async (request, response) => {
    const text = await readText(request);
    const reply = await handle({
      method: request.method ?? "GET",
      url: new URL(request.url ?? "/", "http://stand-in"),
      body: text === "" ? undefined : JSON.parse(text),
      headers: new Headers(request.headers as Record<string, string>),
    });
    if (reply === "silent") return;
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(JSON.stringify(reply.body ?? {}));
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as { port: number };
      resolve({
        address: `127.0.0.1:${port}`,
        stop: () =>
          new Promise((resolveStop) => {
            server.close(() => resolveStop());
            server.closeAllConnections();
          }),
      });
    });
  });
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}
