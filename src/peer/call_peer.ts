import type { Client, ServiceError } from "@grpc/grpc-js";
import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Calls a unary method of a peer. Rejects with `peerUnavailable` when the call fails or times out. */
export function callPeer<Request, Reply>(
  client: Client,
  method: string,
  options: { request: Request; timeoutMs: number },
): Promise<Reply> {
  const call = (client as unknown as Record<string, UnaryMethod>)[method];
  const deadline = Date.now() + options.timeoutMs;
  return new Promise((resolve, reject) => {
    call.call(client, options.request, { deadline }, (error, reply) => {
      if (error) reject(createCallError(method, error));
      else resolve(reply as Reply);
    });
  });
}

type UnaryMethod = (
  request: unknown,
  options: { deadline: number },
  done: (error: ServiceError | null, reply: unknown) => void,
) => void;

function createCallError(method: string, cause: ServiceError): ChivegradeError {
  return new ChivegradeError("peerUnavailable", {
    found: `A peer did not answer ${method} (${cause.details})`,
    remedy: "Check the peer's log; callers receive an answer to retry later",
    cause,
  });
}
