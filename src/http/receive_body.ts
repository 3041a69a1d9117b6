import type { IncomingMessage } from "node:http";
import type { BodyStore } from "../client_limits/body_store.ts";
import type { ReceivedBody } from "./received_body.ts";

/**
 * Receives the body of a request. A body above `maxBytes` is not read: by its
 * announced length, or else as soon as more has arrived. `refused` means that
 * its memory was needed for others.
 */
export function receiveBody(
  incoming: IncomingMessage,
  options: {
    maxBytes: number;
    bodies: BodyStore;
    onProgress: () => void;
  },
): Promise<ReceivedBody> {
  const { maxBytes, bodies, onProgress } = options;
  if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
    return Promise.resolve({ type: "tooLarge" });
  }
  return new Promise((resolve) => {
    const body = bodies.open(() => finish({ type: "refused" }));
    let length = 0;

    function finish(received: ReceivedBody): void {
      incoming.off("data", handleChunk);
      incoming.off("end", handleEnd);
      incoming.off("close", handleClose);
      body.drop();
      resolve(received);
    }

    function handleChunk(chunk: Buffer): void {
      length += chunk.length;
      if (length > maxBytes) return finish({ type: "tooLarge" });
      onProgress();
      body.append(chunk);
    }

    function handleEnd(): void {
      finish({ type: "whole", bytes: body.finish() });
    }

    function handleClose(): void {
      finish({ type: "broken" });
    }

    incoming.on("data", handleChunk);
    incoming.on("end", handleEnd);
    incoming.on("close", handleClose);
  });
}
