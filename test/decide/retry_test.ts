import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { configurationSchema } from "../../src/config/configuration_schema.ts";
import { decideRetry } from "../../src/decide/retry/decide_retry.ts";
import { createTestJob } from "../fixtures/create_test_job.ts";

const { policy } = configurationSchema.parse({ dataCentres: {} });

function decide(
  type: "failed" | "refused" | "neverSent" | "unknown",
  options: { unrepeatable?: boolean; failures?: number; tokens?: number } = {},
): boolean {
  const [task] = createTestJob({ tasks: 1 }).tasks;
  task.request.unrepeatable = options.unrepeatable ?? false;
  task.failures = options.failures ?? 1;
  const budget = { tokens: options.tokens ?? 10 };
  return decideRetry(task, { type, message: "" }, { policy, budget });
}

describe("retries", () => {
  test("an attempt with an unknown outcome is never repeated", () => {
    assert.equal(decide("unknown"), false);
  });

  test("an attempt that certainly never started is repeated, even if the task is unrepeatable", () => {
    assert.equal(decide("neverSent", { unrepeatable: true }), true);
    assert.equal(decide("refused", { unrepeatable: true }), true);
  });

  test("a task that ran and failed is repeated up to the maximum number of attempts, unless it is unrepeatable", () => {
    assert.equal(decide("failed", { failures: 2 }), true);
    assert.equal(decide("failed", { failures: 3 }), false);
    assert.equal(decide("failed", { unrepeatable: true }), false);
  });

  test("a failed task is not repeated once the retry budget is empty", () => {
    assert.equal(decide("failed", { tokens: 0.5 }), false);
  });
});
