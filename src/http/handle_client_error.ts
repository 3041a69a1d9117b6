import type { Socket } from "node:net";
import type { ClientGuard } from "../client_limits/client_guard.ts";
import type { RefusalReason } from "../client_limits/refusal_reason.ts";

/** Status line and reason by the code of the parser's error; any other is malformed. */
const REFUSALS: Record<string, [string, RefusalReason]> = {
  HPE_HEADER_OVERFLOW: [
    "431 Request Header Fields Too Large",
    "headersTooLarge",
  ],
  HPE_CHUNK_EXTENSIONS_OVERFLOW: ["413 Payload Too Large", "malformed"],
  ERR_HTTP_REQUEST_TIMEOUT: ["408 Request Timeout", "receivedTooSlowly"],
};

/** Answers a request that can't be parsed or that arrives too slowly, unless another answer has begun, and closes the connection. */
export function handleClientError(
  error: NodeJS.ErrnoException,
  socket: Socket,
  options: {
    guard: ClientGuard;
    /** Whether an earlier request of the connection waits for its answer, which the client would take this one for. */
    isServed: boolean;
  },
): void {
  const { guard, isServed } = options;
  const code = error.code ?? "";
  const isParserError = code.startsWith("HPE_") || code in REFUSALS;
  if (isParserError) {
    const [status, reason] = REFUSALS[code] ?? ["400 Bad Request", "malformed"];
    guard.record(reason);
    if (socket.writable && !isServed && !hasBegunAnswer(socket)) {
      socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    }
  }
  socket.destroy();
}

/** Whether an answer to an earlier request has begun, which other bytes must not interrupt. */
function hasBegunAnswer(socket: Socket): boolean {
  const { _httpMessage } = socket as Socket & {
    _httpMessage?: { headersSent: boolean };
  };
  return _httpMessage?.headersSent ?? false;
}
