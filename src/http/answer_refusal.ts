import type { IncomingMessage, ServerResponse } from "node:http";
import { match, P } from "ts-pattern";
import type { HttpRefusal } from "./http_refusal.ts";

/** Time for a client that is refused to stop sending, in ms. A connection that is closed with unread bytes loses the answer. */
const LINGER_MS = 500;

/** Answers a request whose body is not received whole, and closes the connection unless the body ends soon. */
export function answerRefusal(
  request: { incoming: IncomingMessage; outgoing: ServerResponse },
  refusal: HttpRefusal,
  body: object,
): void {
  const { incoming, outgoing } = request;
  const text = JSON.stringify(body);
  const headers: Record<string, string | number> = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  };
  const status = match(refusal)
    .with({ reason: "bodyTooLarge" }, () => 413)
    .with({ retryAfterMs: P.number }, ({ retryAfterMs }) => {
      headers["retry-after"] = String(Math.ceil(retryAfterMs / 1_000));
      return 503;
    })
    .exhaustive();
  outgoing.writeHead(status, headers);
  outgoing.end(text);
  incoming.resume();
  const timer = setTimeout(() => {
    if (!incoming.readableEnded) incoming.socket.destroy();
  }, LINGER_MS);
  incoming.once("end", () => clearTimeout(timer));
}
