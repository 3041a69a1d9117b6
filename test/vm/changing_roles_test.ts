import assert from "node:assert/strict";
import { test } from "node:test";
import { runRoleChangeHistory } from "../fixtures/run_role_change_history.ts";

/** Seeds of the simulated histories; the first four once ran a task twice. */
const SEEDS = [25, 135, 200, 251, 1, 2, 3, 4, 5, 6, 7, 8];
/** Seeds of histories in which VMs return to earlier schedulers; the first two once ran a task twice. */
const RETURN_SEEDS = [52, 54, 1, 2, 3, 4];

test("no takeover runs a task twice at once", async () => {
  const broken: Record<number, string[]> = {};
  for (const seed of SEEDS) {
    const violations = await runRoleChangeHistory(seed);
    if (violations.length > 0) broken[seed] = violations;
  }

  assert.deepEqual(broken, {});
});

/** Guards against a job that runs at an earlier and a later scheduler at once. */
test("no return of a VM to an earlier scheduler runs a task twice at once", async () => {
  const broken: Record<number, string[]> = {};
  for (const seed of RETURN_SEEDS) {
    const violations = await runRoleChangeHistory(seed, { hasReturns: true });
    if (violations.length > 0) broken[seed] = violations;
  }

  assert.deepEqual(broken, {});
});
