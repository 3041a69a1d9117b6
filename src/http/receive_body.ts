import type { IncomingMessage } from "node:http";
import type { BodyStore } from "../client_limits/body_store.ts";
import type { ReceivedBody } from "./received_body.ts";

/**
 * Receives the body of a request and calls `onEnd` once. A body above `maxBytes`
 * is not read: by its announced length, or else as soon as more has arrived.
 * `refused` means that its memory was needed for others, or that the function
 * that is returned was called. None is returned when the body has ended already.
 */
export function receiveBody(
  incoming: IncomingMessage,
  options: {
    maxBytes: number;
    bodies: BodyStore;
    onProgress: () => void;
    onEnd: (body: ReceivedBody) => void;
  },
): (() => void) | undefined {
  const { maxBytes, bodies, onProgress, onEnd } = options;
  const announcedBytes = Number(incoming.headers["content-length"]);
  let isEnded = false;
  let body: ReturnType<BodyStore["open"]> | undefined;
  /** A body that arrives at once, as most do, needs no memory of the store. */
  let wholeChunk: Buffer | undefined;
  let length = 0;

  function finish(received: ReceivedBody): void {
    if (isEnded) return;
    isEnded = true;
    incoming.off("data", handleChunk);
    incoming.off("end", handleEnd);
    incoming.off("close", handleClose);
    body?.drop();
    onEnd(received);
  }

  function handleChunk(chunk: Buffer): void {
    length += chunk.length;
    if (length > maxBytes) return finish({ type: "tooLarge" });
    if (chunk.length === announcedBytes) {
      wholeChunk = chunk;
      return;
    }
    onProgress();
    body ??= bodies.open(refuse);
    body.add(chunk);
  }

  function refuse(): void {
    finish({ type: "refused" });
  }

  function handleEnd(): void {
    const bytes = wholeChunk ?? body?.finish() ?? Buffer.alloc(0);
    finish({ type: "whole", bytes });
  }

  function handleClose(): void {
    finish({ type: "broken" });
  }

  if (announcedBytes > maxBytes) {
    finish({ type: "tooLarge" });
    return undefined;
  }
  incoming.on("data", handleChunk);
  incoming.on("end", handleEnd);
  incoming.on("close", handleClose);
  return refuse;
}
