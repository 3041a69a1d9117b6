import assert from "node:assert/strict";
import { test } from "node:test";
import { applyView } from "../../src/entry/apply_view.ts";
import { createTestEntry } from "../fixtures/create_test_entry.ts";
import { submitToEntry } from "../fixtures/submit_to_entry.ts";
import { waitFor } from "../fixtures/wait_for.ts";

test("tasks are sent to the new address of an endpoint after a patch changes its URL", async (context) => {
  const entry = createTestEntry();
  context.after(() => entry.stop());
  await waitFor(() => entry.context.state.shards.get(0)?.phase === "active");
  await submitToEntry(entry, "order-1");
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
  await submitToEntry(entry, "order-2");

  assert.deepEqual(entry.sentUrls, [
    "http://127.0.0.1:5",
    "http://127.0.0.1:6",
  ]);
});
