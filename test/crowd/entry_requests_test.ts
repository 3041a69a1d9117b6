import { describe, test } from "node:test";
import { v7 as createId } from "uuid";
import { runClusterCrowd } from "../fixtures/run_cluster_crowd.ts";
import { submit } from "../fixtures/submit.ts";

const QUERY = "GET /v1/jobs/guild/ID HTTP/1.1\r\nhost: x\r\n" +
  "authorization: Bearer guild-token\r\n\r\n";

describe("a crowd at the product's own entry that reads no answer", () => {
  test("an entry bears queries sent ahead", async () => {
    const parts = [QUERY.replace("ID", createId()).repeat(20_000)];
    await runClusterCrowd("entry", () => ({ size: 40, parts }));
  });

  test("an entry bears slow readers of large results", async () => {
    await runClusterCrowd("entry", async ({ entries }) => {
      const id = createId();
      const value = "x".repeat(200_000);
      await submit(entries[0].ready.ready, { id, tasks: [{ value }] });
      return { size: 40, parts: [QUERY.replace("ID", id).repeat(50)] };
    });
  });

  test("an entry bears connections that send nothing", async () => {
    await runClusterCrowd("entry", () => ({ size: 800, parts: [] }));
  });
});
