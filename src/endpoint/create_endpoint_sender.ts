import { Pool } from "undici";
import { classifyReply } from "./classify_reply.ts";
import type { EndpointSender } from "./endpoint_sender.ts";
import { sendTask } from "./send_task.ts";

/** How long a connection may take to be made, in ms. */
const CONNECT_MS = 2_000;
/** Idle connections are dropped sooner than servers commonly drop them, in ms. */
const IDLE_MS = 3_000;
/** A cancel message is given up after this, in ms. */
const CANCEL_MS = 2_000;

/** Creates the sender of an endpoint. */
export function createEndpointSender(
  url: string,
  options: { connections: number; maxReplyBytes: number },
): EndpointSender {
  const target = new URL(url);
  const pool = new Pool(target.origin, {
    connections: options.connections,
    pipelining: 1,
    connect: { timeout: CONNECT_MS },
    keepAliveTimeout: IDLE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const path = target.pathname;
  return {
    send: async (task) => {
      const sent = await sendTask(pool, path, {
        task,
        maxReplyBytes: options.maxReplyBytes,
      });
      return classifyReply(sent);
    },
    cancel: (taskKey) => {
      pool.request({
        method: "DELETE",
        path: `${path.replace(/\/$/, "")}/${encodeURIComponent(taskKey)}`,
        headersTimeout: CANCEL_MS,
        bodyTimeout: CANCEL_MS,
      }).then((reply) => reply.body.dump()).catch(() => {});
    },
    close: () => pool.close(),
  };
}
