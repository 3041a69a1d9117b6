import { serve } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server } from "node:http";
import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Time after which an idle connection is closed, in ms. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Interval at which idle connections are closed while a server stops, in ms. */
const IDLE_CLOSE_INTERVAL_MS = 50;

/**
 * Starts an HTTP server at an address (host:port; port 0 takes a free one) and
 * resolves with its port once it listens. `stop` resolves when the requests in
 * flight have ended. Rejects with `addressInUse`, which names the settings `key`,
 * when the address can't be listened on.
 */
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
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    server.requestTimeout = 0;
    server.on("error", (cause) => reject(createBindError(key, address, cause)));
  });
}

/** Stops accepting connections and closes each open connection once it is idle, so that requests in flight finish. */
function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(
      () => server.closeIdleConnections(),
      IDLE_CLOSE_INTERVAL_MS,
    );
    server.close(() => {
      clearInterval(timer);
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
