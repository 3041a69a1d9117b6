import { getRequestListener } from "@hono/node-server";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { ClientGuard } from "../client_limits/client_guard.ts";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { createConnectionHandler } from "./create_connection_handler.ts";
import { handleClientError } from "./handle_client_error.ts";
import type { HttpService } from "./http_service.ts";

/** Time after which an idle connection is closed, in ms. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Time within which the headers of a request must arrive, in ms. */
const HEADERS_TIMEOUT_MS = 60_000;
/** Time within which a whole request must arrive, in ms. */
const REQUEST_TIMEOUT_MS = 120_000;
/** Largest headers of a request, in bytes. */
const MAX_HEADER_BYTES = 8_192;
/** Interval at which idle connections are closed while a server stops, in ms. */
const IDLE_CLOSE_INTERVAL_MS = 50;

/**
 * Starts an HTTP server at an address (host:port; port 0 takes a free one) and
 * resolves with its port once it listens. `stop` resolves when the requests in
 * flight have ended. Rejects with `addressInUse`, which names the settings `key`,
 * when the address can't be listened on.
 */
export function startHttpServer(
  service: HttpService,
  at: { address: string; key: string },
  guard: ClientGuard,
): Promise<{ port: number; stop(): Promise<void> }> {
  const { address, key } = at;
  const separator = address.lastIndexOf(":");
  const hostname = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  const handler = createConnectionHandler(
    guard,
    service,
    getRequestListener(service.app.fetch, { hostname }),
  );
  const server = createServer({
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    // Requests without a host are refused by the handler, which limits how many wait.
    requireHostHeader: false,
  }, handler.handleRequest);
  // Such requests would otherwise be answered without the limit on how many wait.
  server.on("checkExpectation", handler.handleRequest);
  server.on("connection", handler.handleConnection);
  server.on("clientError", (error, socket) => {
    const isServed = handler.isServed(socket as Socket);
    handleClientError(error, socket as Socket, { guard, isServed });
  });
  return new Promise((resolve, reject) => {
    server.on("error", (cause) => reject(createBindError(key, address, cause)));
    server.listen(port, hostname, () => {
      const { port } = server.address() as AddressInfo;
      resolve({ port, stop: () => stopServer(server, guard) });
    });
  });
}

/** Stops accepting connections and closes each open connection once it is idle, so that requests in flight finish, and those that have arrived. */
function stopServer(server: Server, { reads }: ClientGuard): Promise<void> {
  function closeIdle(): void {
    reads.readNewcomers();
    server.closeIdleConnections();
  }

  return new Promise((resolve) => {
    const timer = setInterval(closeIdle, IDLE_CLOSE_INTERVAL_MS);
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
    closeIdle();
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
