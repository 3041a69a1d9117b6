import assert from "node:assert/strict";
import { test } from "node:test";
import { applyView } from "../../src/entry/apply_view.ts";
import { receiveJob } from "../../src/entry/receive_job.ts";
import type { TestEntry } from "../fixtures/create_test_entry.ts";
import { createTestEntry } from "../fixtures/create_test_entry.ts";
import { waitFor } from "../fixtures/wait_for.ts";

async function submit(entry: TestEntry, submissionId: string): Promise<void> {
  await receiveJob(entry.context, {
    request: {
      client: "guild",
      submissionId,
      deadlineMs: 2_000,
      tasks: [{ service: "proof", body: "null", unrepeatable: false }],
    },
    digest: "same",
    waitMs: 3_000,
    hops: 0,
  });
}

test("an endpoint that is patched to a new address gets its tasks there", async (context) => {
  const entry = createTestEntry();
  context.after(() => entry.stop());
  await waitFor(() => entry.context.state.shards.get(0)?.phase === "active");
  await submit(entry, "order-1");
  const configuration = structuredClone(
    entry.context.state.version.configuration,
  );
  configuration.endpoints.e0.url = "http://127.0.0.1:6";

  applyView(entry.context, {
    version: 2,
    configuration: JSON.stringify(configuration),
    leases: [],
    shards: [],
    leavingAddresses: [],
  });
  await submit(entry, "order-2");

  assert.deepEqual(entry.urls, ["http://127.0.0.1:5", "http://127.0.0.1:6"]);
});
