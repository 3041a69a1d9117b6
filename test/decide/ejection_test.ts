import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { probeEjectedEndpoints } from "../../src/decide/eject/probe_ejected_endpoints.ts";
import { computeFreeSlots } from "../../src/decide/route/compute_free_slots.ts";
import { endAttempt } from "../../src/decide/route/end_attempt.ts";
import type { EntrySchedulerState } from "../../src/decide/route/entry_scheduler_state.ts";
import { createTestJob } from "../fixtures/create_test_job.ts";
import { createTestScheduler } from "../fixtures/create_test_scheduler.ts";

function endAttemptAt(
  scheduler: EntrySchedulerState,
  endpointId: string,
  options: {
    type: "done" | "failed";
    nowMs: number;
    job?: ReturnType<typeof createTestJob>;
  },
): void {
  const endpoint = scheduler.endpoints.get(endpointId);
  if (endpoint) endpoint.inFlight += 1;
  const job = options.job ?? createTestJob({ tasks: 1 });
  const outcome = options.type === "done"
    ? { type: "done" as const, result: "null" }
    : { type: "failed" as const, message: "broken" };
  endAttempt(scheduler, { job, index: 0, endpointId }, {
    outcome,
    tookMs: 100,
    nowMs: options.nowMs,
  });
}

describe("ejection", () => {
  test("an endpoint is ejected after three failures in a row and is healthy again after one successful probe task", () => {
    const scheduler = createTestScheduler({ endpoints: 4 });
    const endpoint = scheduler.endpoints.get("e0");
    assert.ok(endpoint);

    for (const nowMs of [0, 1, 2]) {
      endAttemptAt(scheduler, "e0", { type: "failed", nowMs });
    }
    assert.equal(endpoint.phase, "ejected");
    assert.equal(computeFreeSlots(endpoint, 100), 0);
    probeEjectedEndpoints(scheduler.endpoints.values(), 2_100);
    assert.equal(computeFreeSlots(endpoint, 2_100), 1);
    endAttemptAt(scheduler, "e0", { type: "done", nowMs: 2_200 });

    assert.equal(endpoint.phase, "healthy");
    assert.equal(computeFreeSlots(endpoint, 2_200), 8);
  });

  test("each failed probe doubles the ejection time", () => {
    const scheduler = createTestScheduler({ endpoints: 4 });
    const endpoint = scheduler.endpoints.get("e0");
    assert.ok(endpoint);
    for (const nowMs of [0, 0, 0]) {
      endAttemptAt(scheduler, "e0", { type: "failed", nowMs });
    }
    probeEjectedEndpoints(scheduler.endpoints.values(), 2_000);

    endAttemptAt(scheduler, "e0", { type: "failed", nowMs: 2_000 });

    assert.equal(endpoint.ejectedUntilMs, 6_000);
  });

  test("a task that fails at several endpoints ejects none of them", () => {
    const scheduler = createTestScheduler({ endpoints: 4 });
    for (let round = 0; round < 10; round += 1) {
      const job = createTestJob({ tasks: 1 });
      for (const id of ["e0", "e1", "e2"]) {
        endAttemptAt(scheduler, id, { type: "failed", nowMs: round, job });
      }
    }

    const phases = [...scheduler.endpoints.values()].map((one) => one.phase);
    assert.deepEqual(phases, ["healthy", "healthy", "healthy", "healthy"]);
  });

  test("at least half of the endpoints are never ejected", () => {
    const scheduler = createTestScheduler({ endpoints: 4 });
    for (const id of ["e0", "e1", "e2", "e3"]) {
      for (let round = 0; round < 5; round += 1) {
        endAttemptAt(scheduler, id, { type: "failed", nowMs: round });
      }
    }

    const ejected = [...scheduler.endpoints.values()]
      .filter((one) => one.phase === "ejected");
    assert.equal(ejected.length, 2);
  });
});
