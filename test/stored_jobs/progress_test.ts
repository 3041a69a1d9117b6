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

/** Longest id of an endpoint, in bytes. */
const MAX_ID_BYTES = 200;

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
    isUnstarted: false,
    doubtfulRuns: [],
  });
});

/** Creates a run that was lost with an endpoint of the id. */
function createLostRun(endpointId: string, hasCrashed: boolean) {
  return {
    endpointId,
    processStartMs: 1_784_981_677_327,
    hasCrashed,
    isCrashProven: hasCrashed,
    countsInFull: true,
    others: 0,
    lostMs: 10,
    ageMs: 5,
  };
}

test("the lost runs and doubtful starts of each task are the same after encoding and decoding", () => {
  const job = createJob(20);
  job.tasks[0].lostRuns.push(createLostRun("e1", true));
  job.tasks[9].lostRuns.push(
    createLostRun("e1", true),
    createLostRun("e2", false),
  );
  job.tasks[9].doubtfulRuns.push(0, 100_002, 200_002);
  job.tasks[19].doubtfulRuns.push(100_002);

  const progress = decodeProgress(encodeProgress(job), job.order);

  const lost = progress.lostRuns?.map(({ task, endpointId, ...lost }) =>
    `${task} ${endpointId} ${lost.hasCrashed} ${lost.isCrashProven}`
  );
  assert.deepEqual(lost, [
    "0 e1 true true",
    "9 e1 true true",
    "9 e2 false false",
  ]);
  assert.deepEqual(progress.doubtfulRuns, [
    { task: 9, run: 0 },
    { task: 9, run: 100_002 },
    { task: 19, run: 100_002 },
    { task: 9, run: 200_002 },
  ]);
});

test("of very many lost runs, those of crashed endpoints are stored", () => {
  const job = createJob(1_000);
  job.tasks.forEach(({ lostRuns }, index) => {
    lostRuns.push(createLostRun(`e${index}`, index === 700));
  });

  const { lostRuns = [] } = decodeProgress(encodeProgress(job), job.order);

  assert.ok(lostRuns.some(({ task }) => task === 700));
  assert.ok(lostRuns.length < 100);
});

test("the progress of a job of 1,900 tasks that have all failed eight times, and lost runs, fits into a row", () => {
  const job = createJob(1_900);
  job.tasks.forEach(({ failedRuns, lostRuns }, index) => {
    lostRuns.push(createLostRun(`${index}`.padEnd(MAX_ID_BYTES, "e"), true));
    for (let run = 1; run <= 8; run += 1) {
      failedRuns.push(100_000 * run + 2 * (1 + index % 10));
    }
  });

  for (const { doubtfulRuns } of job.tasks) {
    for (let run = 1; run <= 5; run += 1) doubtfulRuns.push(100_000 * run + 2);
  }

  const text = JSON.stringify(encodeProgress(job));
  assert.ok(text.length < MAX_ROW_BYTES * 3 / 4, `${text.length} bytes`);
});

// The store refuses a row that is too large, and with it the rows of the same write.
test("the progress of the largest job that was ever accepted fits into a row, whatever its runs were", () => {
  const job = createJob(30_000);
  job.tasks.forEach(({ failedRuns, doubtfulRuns }, index) => {
    for (let run = 1; run <= 3; run += 1) {
      failedRuns.push(100_000 * run + 2 * (1 + index % 20));
      doubtfulRuns.push(100_000 * run + 2 * (1 + index % 20));
    }
  });

  const text = JSON.stringify(encodeProgress(job));
  assert.ok(text.length < MAX_ROW_BYTES, `${text.length} bytes`);
});
