import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { Agent } from "undici";

/**
 * The naive version: no claims, no limits, no queue. Each task goes at once to
 * a random endpoint, whose own queue takes what it can't run.
 */
const endpoints = process.argv.slice(2);
const agent = new Agent({ connections: 64, pipelining: 1 });
const app = new Hono();

app.post("/v1/jobs", async (http) => {
  const job = await http.req.json();
  const results = await Promise.all(job.tasks.map(runTask));
  return http.json({ status: "complete", results });
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
