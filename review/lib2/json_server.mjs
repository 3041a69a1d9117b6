import { createServer } from "node:http";

/**
 * Starts an HTTP server on a loopback address whose bodies are JSON. `handle`
 * returns a status and a body, "silent" for no answer or "reset" to break the
 * connection.
 */
export function startJsonServer(handle, port = 0) {
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => {});
    request.on("end", async () => {
      const text = Buffer.concat(chunks).toString("utf8");
      const reply = await handle({
        method: request.method,
        url: new URL(request.url, "http://stand-in"),
        headers: request.headers,
        body: text === "" ? undefined : JSON.parse(text),
      });
      if (reply === "silent") return;
      if (reply === "reset") return request.socket.resetAndDestroy();
      const body = JSON.stringify(reply.body ?? {});
      response.writeHead(reply.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      });
      response.end(body);
    });
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(port, "127.0.0.1", () => {
      resolve({
        port: server.address().port,
        address: `127.0.0.1:${server.address().port}`,
        stop: () =>
          new Promise((done) => {
            server.close(() => done());
            server.closeAllConnections();
          }),
      });
    });
  });
}
