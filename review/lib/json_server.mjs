import { createServer } from "node:http";

/** Answers nothing and leaves the connection open. */
export const SILENT = Symbol("silent");

/** Starts an HTTP server with JSON bodies on a free loopback port. `handle` returns `{ status, body }` or `SILENT`. */
export async function startJsonServer(handle) {
  const server = createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      // The caller broke off before its request was complete.
      return;
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const reply = await handle({
      method: request.method,
      url: new URL(request.url, "http://stand-in"),
      body: text === "" ? {} : JSON.parse(text),
      headers: request.headers,
    });
    if (reply === SILENT) return;
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(JSON.stringify(reply.body ?? {}));
  });
  server.keepAliveTimeout = 600_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
