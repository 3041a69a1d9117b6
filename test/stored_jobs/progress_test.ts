import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeProgress } from "../../src/stored_jobs/decode_progress.ts";
import { encodeProgress } from "../../src/stored_jobs/encode_progress.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

/** Largest value of a row on the platform, in bytes of JSON: its base64 text may have 65,536. */
const MAX_ROW_BYTES = 65_536;

function createJob(count: number) {
  const driver = createSchedulerDriver();
  driver.submitStored({ id: "j", steps: [createStep(count)], maxAttempts: 9 });
  const job = driver.state.jobs.get("j");
  assert.ok(job);
  return job;
}

test("the failed runs of each task are the same after encoding and decoding", () => {
  const job = createJob(20);
  job.tasks[0].failedRuns.push(100_004, 100_002);
  job.tasks[9].failedRuns.push(100_002);
  job.tasks[19].failedRuns.push(200_002, 100_002);

  const { failedRuns } = decodeProgress(encodeProgress(job), job.order);

  const format = ({ task, run }: typeof failedRuns[number]) => `${task} ${run}`;
  assert.deepEqual(failedRuns.map(format).sort(), [
    "0 100002",
    "0 100004",
    "19 100002",
    "19 200002",
    "9 100002",
  ]);
});

test("the progress that an earlier version of the program has stored is read without its failed runs", () => {
  const job = createJob(2);

  assert.deepEqual(decodeProgress({ done: "AQ==" }, job.order), {
    done: [true, false],
    failedRuns: [],
    lostRuns: [],
  });
});

test("the progress of a job of 1,900 tasks that have all failed eight times fits into a row", () => {
  const job = createJob(1_900);
  job.tasks.forEach(({ failedRuns }, index) => {
    for (let run = 1; run <= 8; run += 1) {
      failedRuns.push(100_000 * run + 2 * (1 + index % 10));
    }
  });

  const text = JSON.stringify(encodeProgress(job));
  assert.ok(text.length < MAX_ROW_BYTES * 3 / 4, `${text.length} bytes`);
});
