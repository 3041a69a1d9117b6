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
  test("a job that no endpoint can serve is refused at once for good", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });

    const admission = admitJob(scheduler, createRequest(1, "nowhere"), client);

    assert.equal(admission.type, "refused");
    const answer = admission.type === "refused" && admission.answer;
    assert.ok(answer && answer.status === "refused");
    assert.equal(answer.failure.kind, "neverRunnable");
    assert.equal(answer.retryAfterMs, undefined);
  });

  test("a job larger than its client's quota can never run", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });

    const admission = admitJob(scheduler, createRequest(11), client);

    const answer = admission.type === "refused" && admission.answer;
    assert.ok(answer && answer.status === "refused");
    assert.equal(answer.failure.kind, "neverRunnable");
  });

  test("a job that would wait past its deadline is told when to come back", () => {
    const scheduler = createTestScheduler({ endpoints: 1 });
    scheduler.waitingWorkMs.set("proof", 20_000);

    const admission = admitJob(scheduler, createRequest(1), client);

    const answer = admission.type === "refused" && admission.answer;
    assert.ok(answer && answer.status === "refused");
    assert.equal(answer.failure.kind, "overloaded");
    assert.equal(answer.notRun, true);
    assert.equal(answer.retryAfterMs, 1_500);
  });

  test("a client with nothing waiting is let in past another's flood", () => {
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
