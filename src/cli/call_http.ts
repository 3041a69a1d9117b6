import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { readError } from "../errors/read_error.ts";

/** A reply of the HTTP interface of an entry or of a control daemon. */
type HttpReply = { status: number; body: Record<string, unknown> };

/**
 * Calls the HTTP interface of a process with `token` or, by default, the token in
 * CHIVEGRADE_TOKEN. Resolves for every status; throws `peerUnavailable` when the
 * process can't be reached and `requestInvalid` when the reply is not JSON.
 */
export async function callHttp(
  url: string,
  options: { method: string; token?: string; body?: unknown },
): Promise<HttpReply> {
  const token = options.token ?? process.env.CHIVEGRADE_TOKEN ?? "";
  const body = options.body === undefined
    ? undefined
    : JSON.stringify(options.body);
  const reply = await sendRequest(url, {
    method: options.method,
    headers: { authorization: `Bearer ${token}` },
    body,
  });
  const text = await reply.text();
  return { status: reply.status, body: parseBody(url, text) };
}

async function sendRequest(url: string, init: RequestInit): Promise<Response> {
  try {
    return await fetch(url, init);
  } catch (thrown) {
    throw new ChivegradeError("peerUnavailable", {
      found: `${url} can't be reached`,
      remedy: "Check the address and that the process runs",
      cause: readError(thrown),
    });
  }
}

function parseBody(url: string, text: string): Record<string, unknown> {
  try {
    return JSON.parse(text);
  } catch (thrown) {
    throw new ChivegradeError("requestInvalid", {
      found: `${url} did not answer with JSON`,
      remedy: "Check that the address is a chivegrade process's",
      cause: readError(thrown),
    });
  }
}
