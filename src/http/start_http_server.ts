import { serve } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server } from "node:http";
import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Idle connections of callers are kept this long, in ms. */
const KEEP_ALIVE_MS = 65_000;
/** How often idle connections are closed while a server stops, in ms. */
const SWEEP_MS = 50;

/** Starts an HTTP server; its stop lets requests in flight finish. */
export function startHttpServer(
  app: Hono,
  address: string,
  key: string,
): Promise<{ port: number; stop(): Promise<void> }> {
  const separator = address.lastIndexOf(":");
  const hostname = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname, port }, (info) => {
      resolve({ port: info.port, stop: () => stopServer(server) });
    }) as Server;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.requestTimeout = 0;
    server.on("error", (cause) => reject(createBindError(key, address, cause)));
  });
}

/** Requests in flight finish; their connections are closed as they fall idle. */
function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const sweep = setInterval(() => server.closeIdleConnections(), SWEEP_MS);
    server.close(() => {
      clearInterval(sweep);
      resolve();
    });
    server.closeIdleConnections();
  });
}

function createBindError(
  key: string,
  address: string,
  cause: Error,
): ChivegradeError {
  return new ChivegradeError("addressInUse", {
    found: `${key} ${address} can't be listened on (${cause.message})`,
    remedy: "Stop the process that uses it or choose another port",
    cause,
  });
}
