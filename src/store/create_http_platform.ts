import { Pool } from "undici";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { readError } from "../errors/read_error.ts";
import type { Platform } from "./platform.ts";

/** Largest number of connections from a process to the platform. */
const PLATFORM_CONNECTIONS = 4;

/** Creates a client of the platform's services over HTTP and JSON. Its calls reject with `platformUnavailable` without a reply and with `platformRefused` after an unexpected status. */
export function createHttpPlatform(
  url: string,
  timeoutMs: number,
): Platform {
  const pool = new Pool(url, {
    connections: PLATFORM_CONNECTIONS,
    connectTimeout: timeoutMs,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });

  async function request(
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: string,
  ): Promise<{ status: number; text: string }> {
    try {
      const reply = await pool.request({
        method,
        path,
        body,
        headers: { "content-type": "application/json" },
      });
      return { status: reply.statusCode, text: await reply.body.text() };
    } catch (thrown) {
      throw new ChivegradeError("platformUnavailable", {
        found: `The platform at ${url} did not answer ${method} ${path}`,
        remedy: "Check the platform's address and health; it is asked again",
        cause: readError(thrown),
      });
    }
  }

  async function requestJson(
    method: "GET" | "POST",
    path: string,
    body?: string,
  ): Promise<unknown> {
    const reply = await request(method, path, body);
    if (reply.status !== 200) {
      throw new ChivegradeError("platformRefused", {
        found: `The platform answered ${reply.status} to ${method} ${path}`,
        remedy: "Look at the platform's own log for this request",
      });
    }
    return JSON.parse(reply.text);
  }

  return {
    table: {
      transact: (operations) =>
        requestJson(
          "POST",
          "/table/transactions",
          JSON.stringify({ operations }),
        ) as ReturnType<Platform["table"]["transact"]>,
      scan: (prefix, sinceRevision) =>
        requestJson(
          "GET",
          `/table/rows?prefix=${
            encodeURIComponent(prefix)
          }&since=${sinceRevision}`,
        ) as ReturnType<Platform["table"]["scan"]>,
    },
    objects: {
      put: async (name, text) => {
        await request("PUT", `/objects/${encodeURIComponent(name)}`, text);
      },
      get: async (name) => {
        const path = `/objects/${encodeURIComponent(name)}`;
        const reply = await request("GET", path);
        return reply.status === 200 ? reply.text : undefined;
      },
    },
    readMembers: async () => {
      const reply = await requestJson("GET", "/members");
      return (reply as { members: [] }).members;
    },
    close: () => pool.destroy(),
  };
}
