import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { Agent } from "undici";

/**
 * Naive version to compare against: without claims, limits or a queue. Each task
 * is sent immediately to a random endpoint, which queues it while its slots are
 * taken. The arguments are the URLs of the endpoints.
 */
const endpoints = process.argv.slice(2);
const agent = new Agent({ connections: 64, pipelining: 1 });
const app = new Hono();

app.post("/v1/jobs", async (context) => {
  const job = await context.req.json();
  const results = await Promise.all(job.tasks.map(runTask));
  return context.json({ status: "complete", results });
});

async function runTask(task: { body: unknown }): Promise<unknown> {
  const url = new URL(endpoints[Math.floor(Math.random() * endpoints.length)]);
  const reply = await agent.request({
    origin: url.origin,
    path: url.pathname,
    method: "POST",
    headers: {
      "idempotency-key": crypto.randomUUID(),
      "content-type": "application/json",
    },
    body: JSON.stringify(task.body),
  });
  return await reply.body.json();
}

serve({ fetch: app.fetch, port: 0, hostname: "127.0.0.1" }, (info) => {
  const ready = `http://127.0.0.1:${info.port}`;
  process.stdout.write(JSON.stringify({ ready, name: ready }) + "\n");
});
