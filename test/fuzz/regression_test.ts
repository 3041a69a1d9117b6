import assert from "node:assert/strict";
import { test } from "node:test";
import { runHistory } from "./run_history.ts";
import type { Step } from "./step.ts";

/** Shrunk from `npm run fuzz -- --runs 500 --seed 9678096`: the entry loses its lease while the write that hands a shard over is under way. */
const LEASE_LOST_DURING_HANDOVER: Step[] = [
  { type: "advance", ms: 5 },
  { type: "advance", ms: 50 },
  { type: "advance", ms: 4000 },
  { type: "drain", entry: 0 },
  {
    type: "submit",
    entry: 0,
    client: "guild",
    id: "old",
    tasks: [{ runMs: 200, fail: false, unrepeatable: false }],
    deadlineMs: 300,
  },
  { type: "advance", ms: 400 },
  { type: "restart", entry: 0 },
  { type: "drain", entry: 0 },
  { type: "healPlatform", dataCentre: 0 },
  { type: "advance", ms: 5 },
  { type: "join", dataCentre: 0 },
];

test("a shard that is lost while it is handed over is not released a second time", async () => {
  const { violations } = await runHistory(LEASE_LOST_DURING_HANDOVER, 0);
  assert.deepEqual(violations, []);
});
