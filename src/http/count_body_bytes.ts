import type { Context } from "hono";
import type { IncomingMessage } from "node:http";

/** Counts the bytes of a request's body that has been received and not decoded yet; 0 for a request that has not come through the server. */
export function countBodyBytes({ env }: Context): number {
  const incoming = env?.incoming as
    | IncomingMessage & { rawBody?: Buffer }
    | undefined;
  return incoming?.rawBody?.length ?? 0;
}
