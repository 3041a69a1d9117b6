import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { admitJob } from "../../src/decide/admit/admit_job.ts";
import { createTestScheduler } from "../fixtures/create_test_scheduler.ts";

const client = {
  tokenDigest: "",
  homeDataCentre: "north",
  weight: 1,
  maxTasks: 10,
  suspended: false,
};

function createRequest(count: number, service = "proof") {
  const task = { service, body: "null", unrepeatable: false };
  return {
    client: "guild",
    submissionId: "one",
    deadlineMs: 1_000,
    tasks: Array.from({ length: count }, () => task),
  };
}

describe("admission", () => {
  test("a job whose service no endpoint serves is refused without a retry delay", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });

    const admission = admitJob(scheduler, createRequest(1, "nowhere"), client);

    assert.equal(admission.type, "refused");
    const answer = admission.type === "refused" && admission.answer;
    assert.ok(answer && answer.status === "refused");
    assert.equal(answer.failure.kind, "neverRunnable");
    assert.equal(answer.retryAfterMs, undefined);
  });

  test("a job with more tasks than the client's quota is refused as never runnable", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });

    const admission = admitJob(scheduler, createRequest(11), client);

    const answer = admission.type === "refused" && admission.answer;
    assert.ok(answer && answer.status === "refused");
    assert.equal(answer.failure.kind, "neverRunnable");
  });

  test("a job that would wait past its deadline is refused with a retry delay", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });
    scheduler.waitingWorkMs.set("proof", 20_000);

    const admission = admitJob(scheduler, createRequest(1), client);

    const answer = admission.type === "refused" && admission.answer;
    assert.ok(answer && answer.status === "refused");
    assert.equal(answer.failure.kind, "overloaded");
    assert.equal(answer.notRun, true);
    assert.equal(answer.retryAfterMs, 1_500);
  });

  test("a client without waiting tasks is admitted while another client floods the queue", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });
    scheduler.waitingWorkMs.set("proof", 12_000);
    scheduler.clients.set("flood", {
      virtualTimeMs: 0,
      weight: 1,
      queued: 60,
      open: 60,
    });

    const admission = admitJob(scheduler, createRequest(1), client);

    assert.equal(admission.type, "admitted");
  });
});
