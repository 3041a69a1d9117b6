import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { countPending } from "../../src/scheduler/count_pending.ts";
import { decodeProgress } from "../../src/stored_jobs/decode_progress.ts";
import { encodeProgress } from "../../src/stored_jobs/encode_progress.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";
import type { Start } from "../fixtures/create_scheduler_driver.ts";

/** Submits the stored job `j`, whose start is sent to the only endpoint at once. */
function submitJob() {
  const driver = createSchedulerDriver();
  driver.advanceTo(1_000);
  driver.addIdleEndpoint("e1");
  driver.submitStored({ id: "j" });
  const [start] = driver.starts;
  const job = driver.state.jobs.get("j");
  assert.ok(job);
  const readPending = () => countPending(driver.state).proofs ?? 0;
  return { driver, start, job, readPending };
}

function listRun({ task, run }: Start) {
  return { running: [{ task: task.name, run, progress: 0 }] };
}

describe("pending jobs", () => {
  // A job counted as begun as soon as its first start had been sent, also
  // when the endpoint rejected it.
  test("contain a job whose start was rejected", () => {
    const { driver, start, job, readPending } = submitJob();
    driver.reply(start, { type: "rejected", reason: "unhealthy" });

    assert.equal(readPending(), 1);
    assert.equal(driver.state.unsaved.has(job), false);
  });

  test("contain a job whose start was not answered, until a listing shows the run", () => {
    const { driver, start, readPending } = submitJob();
    driver.reply(start, { type: "unanswered" });
    assert.equal(readPending(), 1);

    driver.advanceTo(1_100);
    driver.list("e1", { clockMs: 100, ...listRun(start) });
    assert.equal(readPending(), 0);
  });

  test("do not contain a job whose start was accepted, under a later scheduler either", () => {
    const { driver, start, job, readPending } = submitJob();
    driver.reply(start, { type: "accepted" });
    assert.equal(readPending(), 0);
    assert.equal(driver.state.unsaved.has(job), true);

    const later = createSchedulerDriver({ token: 200 });
    const progress = decodeProgress(encodeProgress(job), job.order);
    later.submitStored(job.order, { progress, mayHaveRun: true });
    assert.deepEqual(countPending(later.state), {});
  });

  // A lost run that its endpoint had never confirmed counted as a start.
  test("contain a job whose only run was lost before it was confirmed, under a later scheduler too", () => {
    const { driver, start, job } = submitJob();
    driver.reply(start, { type: "unanswered" });
    job.tasks[0].lostRuns.push({
      endpointId: "e1",
      processStartMs: 1,
      hasCrashed: true,
      isCrashProven: true,
      countsInFull: false,
      others: 0,
      lostMs: 1_100,
      ageMs: 100,
    });

    const later = createSchedulerDriver({ token: 200 });
    const progress = decodeProgress(encodeProgress(job), job.order);
    later.submitStored(job.order, { progress, mayHaveRun: true });
    assert.deepEqual(countPending(later.state), { proofs: 1 });
  });

  test("do not contain a job whose run ended before its start was confirmed", () => {
    const { driver, start, readPending } = submitJob();
    const { task, run } = start;
    const end = { number: 1, task: task.name, run, how: "lapsed" as const };
    driver.list("e1", { clockMs: 100, ended: [end] });

    assert.equal(readPending(), 0);
  });
});
