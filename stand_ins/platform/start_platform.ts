import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { waitMs } from "../../src/utils/wait_ms.ts";
import { MemoryPlatform } from "./memory_platform.ts";
import type { PlatformFaults } from "./platform_faults.ts";

/** Duration of a write that is synced to disk, in ms. */
const SYNCED_WRITE_MS = 4;

/** Starts the platform stand-in on a port (0 for a free one). POST /faults sets its faults; GET /counts returns the counts of the calls served. */
export async function startPlatform(
  port: number,
): Promise<{
  url: string;
  platform: MemoryPlatform;
  faults: PlatformFaults;
  stop(): Promise<void>;
}> {
  const platform = new MemoryPlatform();
  const faults: PlatformFaults = { delayMs: 0, down: false, loseReplies: 0 };
  const app = new Hono<{ Bindings: { outgoing: { destroy(): void } } }>();
  app.use("*", async (context, next) => {
    if (context.req.path.startsWith("/faults")) return next();
    if (faults.down) return closeConnection(context.env.outgoing);
    if (faults.delayMs > 0) await waitMs(faults.delayMs);
    await next();
  });
  app.post("/faults", async (context) => {
    Object.assign(faults, await context.req.json());
    return context.json(faults);
  });
  app.get("/counts", (context) => context.json(platform.counts));
  app.put("/members", async (context) => {
    platform.members = (await context.req.json()).members;
    return context.json({});
  });
  app.get("/members", (context) => context.json({ members: platform.members }));
  app.post("/table/transactions", async (context) => {
    const { operations } = await context.req.json();
    const result = platform.transact(operations);
    await waitMs(SYNCED_WRITE_MS);
    if (faults.loseReplies > 0) {
      faults.loseReplies -= 1;
      return closeConnection(context.env.outgoing);
    }
    return context.json(result);
  });
  app.get("/table/rows", (context) => {
    const prefix = context.req.query("prefix") ?? "";
    const since = Number(context.req.query("since") ?? 0);
    return context.json(platform.scan(prefix, since));
  });
  app.put("/objects/:name", async (context) => {
    platform.putObject(context.req.param("name"), await context.req.text());
    await waitMs(SYNCED_WRITE_MS);
    return context.json({});
  });
  app.get("/objects/:name", (context) => {
    const text = platform.objects.get(context.req.param("name"));
    return text === undefined ? context.notFound() : context.body(text);
  });
  const server = await new Promise<ReturnType<typeof serve>>((resolve) => {
    const started = serve(
      { fetch: app.fetch, port, hostname: "127.0.0.1" },
      () => resolve(started),
    );
  });
  const address = server.address() as { port: number };
  return {
    url: `http://127.0.0.1:${address.port}`,
    platform,
    faults,
    stop: () => stopServer(server),
  };
}

function closeConnection(outgoing: { destroy(): void }): Promise<Response> {
  outgoing.destroy();
  return new Promise(() => {});
}

function stopServer(server: ReturnType<typeof serve>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    if ("closeAllConnections" in server) server.closeAllConnections();
  });
}
