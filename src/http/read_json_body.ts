import type { Context } from "hono";
import type { IncomingMessage } from "node:http";

/**
 * Reads the body of a request as JSON; undefined when it is not JSON. The bytes
 * are given up, as a request may wait long for its answer.
 */
export async function readJsonBody(context: Context): Promise<unknown> {
  try {
    const bytes = takeBytes(context);
    return bytes
      ? JSON.parse(bytes.toString())
      : JSON.parse(await context.req.text());
  } catch {
    return undefined;
  }
}

/** Takes the bytes that the server has received; undefined for a request that has not come through it. */
function takeBytes({ env }: Context): Buffer | undefined {
  const incoming = env?.incoming as
    | IncomingMessage & { rawBody?: Buffer }
    | undefined;
  const bytes = incoming?.rawBody;
  if (incoming) incoming.rawBody = undefined;
  return bytes;
}
