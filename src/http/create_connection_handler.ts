import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { ClientConnection } from "../client_limits/client_connection.ts";
import type { ClientGuard } from "../client_limits/client_guard.ts";
import type { MemoryHolder } from "../client_limits/memory_holder.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Reader } from "../client_limits/reader.ts";
import { answerRefusal } from "./answer_refusal.ts";
import type { HttpRefusal } from "./http_refusal.ts";
import type { HttpService } from "./http_service.ts";
import { createSocketReader } from "./create_socket_reader.ts";
import { receiveBody } from "./receive_body.ts";

type Request = { incoming: IncomingMessage; outgoing: ServerResponse };
type Connection = ClientConnection & {
  current?: Request;
  queue: Request[];
  /** The request that was begun last, whose body may still arrive. */
  latest?: IncomingMessage;
  reader: Reader;
  /** Refuses the request whose body is being received. */
  refuseBody?: () => void;
  /** Whether no more bytes of the client are wanted. */
  isRefused: boolean;
};

/** Most requests of one connection that wait behind the one that is being answered. */
const MAX_QUEUED_REQUESTS = 16;
/** An answer of this size is part of what a connection may take, in bytes. */
const SMALL_ANSWER_BYTES = 16 * 1_024;
/** Methods whose requests have a body that means something; that of others is received, but not kept. */
const METHODS_WITH_BODY = ["POST", "PUT", "PATCH"];
/** A body of this size takes so long to decode that no other is decoded in the same turn of the event loop, in bytes. */
const LARGE_BODY_BYTES = 16 * 1_024;
/** Time after which a client may retry whose body took memory that others needed, in ms. */
const REFUSED_RETRY_MS = 1_000;

/**
 * Creates the handlers of a server's connections and requests. A connection's
 * requests are taken one at a time, and each is handed to `serve` once its body
 * is whole, or at once while no body is received.
 */
export function createConnectionHandler(
  guard: ClientGuard,
  service: Pick<HttpService, "readMaxBodyBytes" | "formatRefusal">,
  serve: (incoming: IncomingMessage, outgoing: ServerResponse) => unknown,
) {
  const connections = new WeakMap<Socket, Connection>();

  function handleConnection(socket: Socket): void {
    const connection: Connection = {
      progressMs: readMonotonicMs(),
      isServed: false,
      close: () => socket.destroy(),
      queue: [],
      reader: createSocketReader(socket, {
        canRead: () => canRead(socket, connection),
        onReadable: guard.reads.add,
        refuse: () => refuseConnection(connection),
      }),
      isRefused: false,
    };
    connections.set(socket, connection);
    socket.on("drain", () => guard.reads.add(connection.reader));
    socket.once("close", () => {
      guard.reads.forget(connection.reader);
      guard.forgetConnection(connection);
      dropQueue(connection);
    });
    guard.addConnection(connection);
  }

  function handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): void {
    const connection = connections.get(incoming.socket);
    if (!connection || !incoming.socket.writable) return;
    const request = { incoming, outgoing };
    connection.latest = incoming;
    if (!connection.current) return beginRequest(connection, request);
    const isFull = connection.queue.length >= MAX_QUEUED_REQUESTS;
    if (!isFull && !isChunked(incoming) && guard.takeQueuePlace()) {
      connection.queue.push(request);
      return;
    }
    guard.record("queuedRequests");
    connection.close();
  }

  function beginRequest(connection: Connection, request: Request): void {
    const { incoming, outgoing } = request;
    connection.current = request;
    connection.progressMs = readMonotonicMs();
    outgoing.once("prefinish", () => holdAnswer(connection, request));
    outgoing.once("close", () => {
      connection.progressMs = readMonotonicMs();
      connection.isServed = false;
      connection.current = undefined;
      // An application that does not need the body leaves it there, and the connection may stay open.
      Object.assign(incoming, { rawBody: undefined });
      const next = connection.queue.shift();
      if (next) {
        guard.releaseQueuePlaces(1);
        // An answer that closes the connection is its last.
        if (!incoming.socket.writable) return dropQueue(connection);
        beginRequest(connection, next);
      }
      // This request may have kept further bytes from being read.
      guard.reads.add(connection.reader);
    });
    if (hasNoHost(incoming)) {
      guard.record("malformed");
      outgoing.writeHead(400, { connection: "close" }).end();
    } else if (hasBody(incoming)) receiveRequest(connection, request);
    else handOver(connection, request);
  }

  function receiveRequest(connection: Connection, request: Request): void {
    const maxBytes = service.readMaxBodyBytes();
    if (maxBytes === undefined) return handOver(connection, request);
    connection.refuseBody = receiveBody(request.incoming, {
      maxBytes,
      bodies: guard.bodies,
      onProgress: () => {
        connection.progressMs = readMonotonicMs();
      },
      onEnd: (body) => {
        connection.refuseBody = undefined;
        match(body)
          .with({ type: "whole" }, ({ bytes }) => {
            const { method = "" } = request.incoming;
            const rawBody = METHODS_WITH_BODY.includes(method)
              ? bytes
              : Buffer.alloc(0);
            // The adapter reads a body from this property where there is one.
            Object.assign(request.incoming, { rawBody });
            if (rawBody.length >= LARGE_BODY_BYTES) guard.reads.endTurn();
            handOver(connection, request);
          })
          .with(
            { type: "tooLarge" },
            () => refuse(request, { reason: "bodyTooLarge", maxBytes }),
          )
          .with({ type: "refused" }, () =>
            refuse(request, {
              reason: connection.isRefused ? "unreadBytes" : "unfinishedBodies",
              retryAfterMs: REFUSED_RETRY_MS,
            }))
          .with({ type: "broken" }, () => {})
          .exhaustive();
      },
    });
  }

  /** Refuses the request whose body is being received, or else closes the connection, and reads no more of it. */
  function refuseConnection(connection: Connection): void {
    connection.isRefused = true;
    if (connection.refuseBody) return connection.refuseBody();
    guard.record("unreadBytes");
    connection.close();
  }

  function refuse(request: Request, refusal: HttpRefusal): void {
    guard.record(refusal.reason);
    answerRefusal(request, refusal, service.formatRefusal(refusal));
  }

  function handOver(connection: Connection, request: Request): void {
    if (request.outgoing.destroyed) return;
    connection.isServed = true;
    connection.reader.hasReceivedRequest = true;
    serve(request.incoming, request.outgoing);
  }

  /** Counts what the client has not read of an answer, once the answer has been written whole. */
  function holdAnswer(connection: Connection, request: Request): void {
    const { socket } = request.incoming;
    connection.isServed = false;
    connection.progressMs = readMonotonicMs();
    const bytes = socket.writableLength;
    if (bytes <= SMALL_ANSWER_BYTES) return;
    const answer: MemoryHolder = {
      bytes,
      sinceMs: readMonotonicMs(),
      refuse: connection.close,
    };
    request.outgoing.once("close", () => guard.forgetAnswer(answer));
    guard.addAnswer(answer);
  }

  function dropQueue(connection: Connection): void {
    guard.releaseQueuePlaces(connection.queue.length);
    connection.queue = [];
  }

  return {
    handleConnection,
    handleRequest,
    /** Whether a request of the connection has been handed on and is not answered yet. */
    isServed: (socket: Socket) => connections.get(socket)?.isServed ?? false,
  };
}

/** Whether bytes of a connection may be handled: none are while its answers are not read, or while the body of a request that waits fills its buffer. */
function canRead(socket: Socket, connection: Connection): boolean {
  const { isRefused, latest } = connection;
  if (isRefused || socket.writableNeedDrain) return false;
  return !latest || latest.readableFlowing === true ||
    latest.readableLength < latest.readableHighWaterMark;
}

/** Whether a request lacks the host that HTTP/1.1 requires. */
function hasNoHost({ headers, httpVersion }: IncomingMessage): boolean {
  return headers.host === undefined && httpVersion === "1.1";
}

/** Whether the body comes in chunks, of which the parser keeps an object for each until the body is received. */
function isChunked({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined;
}

function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers["content-length"];
  return headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}
