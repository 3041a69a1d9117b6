import { Pool } from "undici";
import { classifyReply } from "./classify_reply.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import { sendTask } from "./send_task.ts";

/** Time-out for opening a connection, in ms. */
const CONNECT_TIMEOUT_MS = 2_000;
/** Time after which an idle connection is closed, in ms. It is shorter than the keep-alive time of common servers, so that no request is sent on a connection that the server is closing. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
/** Time-out of a request that cancels a task, in ms. */
const CANCEL_TIMEOUT_MS = 2_000;

/** Creates the sender of an endpoint, with a pool of at most `connections` connections. */
export function createEndpointSender(
  url: string,
  options: { connections: number; maxReplyBytes: number },
): EndpointSender {
  const target = new URL(url);
  const pool = new Pool(target.origin, {
    connections: options.connections,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const path = target.pathname;
  return {
    send: async (task) => {
      const result = await sendTask(pool, path, {
        task,
        maxReplyBytes: options.maxReplyBytes,
      });
      return classifyReply(result);
    },
    cancel: (taskKey) => {
      pool.request({
        method: "DELETE",
        path: `${path.replace(/\/$/, "")}/${encodeURIComponent(taskKey)}`,
        headersTimeout: CANCEL_TIMEOUT_MS,
        bodyTimeout: CANCEL_TIMEOUT_MS,
      }).then((reply) => reply.body.dump()).catch(() => {});
    },
    close: () => pool.close(),
  };
}
