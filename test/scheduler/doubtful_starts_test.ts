import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { RunEnd } from "../../src/scheduler/run_end.ts";
import type { StoredProgress } from "../../src/scheduler/stored_progress.ts";
import { decodeProgress } from "../../src/stored_jobs/decode_progress.ts";
import { encodeProgress } from "../../src/stored_jobs/encode_progress.ts";
import type { JobProgressRow } from "../../src/stored_jobs/job_progress_row.ts";
import {
  createSchedulerDriver,
  type Start,
} from "../fixtures/create_scheduler_driver.ts";

const ENDPOINTS = ["e1", "e2", "e3"];
const SCHEDULERS = 10;

/** Runs a stored job under schedulers each of which ends while the task runs; the endpoint of the run lists to the next one how the run ended. */
function runUnderSchedulers(options: {
  how: RunEnd["how"];
  /** Whether the end is listed before the next scheduler has read the job. */
  isListedFirst: boolean;
  /** Whether the end is listed to each of the later schedulers again. Default: false. */
  isListedAgain?: boolean;
  /** Changes the progress row that the next scheduler reads. Default: as it was written. */
  rewrite?: (row: JobProgressRow) => JobProgressRow;
}) {
  const starts: Start[] = [];
  const { rewrite = (row) => row } = options;
  let progress: StoredProgress | undefined;
  let driver = createSchedulerDriver();
  for (let scheduler = 1; scheduler <= SCHEDULERS; scheduler += 1) {
    driver = createSchedulerDriver({
      token: scheduler * 100,
      areStoredJobsRead: false,
    });
    const listAll = () => {
      for (const id of ENDPOINTS) {
        const ended = starts.map((start, index) => ({ start, index }))
          .filter(({ start, index }) =>
            start.endpointId === id &&
            (options.isListedAgain || index === starts.length - 1)
          )
          .map(({ start, index }) => ({
            number: index + 1,
            task: start.task.name,
            run: start.run,
            how: options.how,
          }));
        driver.list(id, { ended, clockMs: 100 });
      }
      // A process that is younger than the job, as one that was added or replaced.
      driver.list("e4", { processStartMs: Date.now() + 60_000 });
    };
    for (const id of [...ENDPOINTS, "e4"]) driver.addEndpoint(id);
    if (options.isListedFirst) listAll();
    driver.submitStored({ id: "j" }, { progress, mayHaveRun: scheduler > 1 });
    driver.state.areStoredJobsRead = true;
    const job = driver.state.jobs.get("j");
    assert.ok(job);
    for (let step = 1; step < 40 && !driver.starts[0]; step += 1) {
      driver.advanceTo(step * 100);
      if (step > 1 || !options.isListedFirst) listAll();
      const row = rewrite(encodeProgress(job));
      progress = decodeProgress(row, job.order);
      driver.confirmSaved();
    }
    const [start] = driver.starts;
    if (!start) break;
    driver.reply(start, { type: "accepted" });
    starts.push(start);
  }
  return { starts, outcome: driver.outcomes.get("j"), progress };
}

// All VMs lost power five times: the job failed, although no endpoint had crashed.
describe("starts whose scheduler ended before it knew what became of them", () => {
  for (const how of ["lapsed", "stopped", "other"] as const) {
    for (const isListedFirst of [true, false]) {
      const when = isListedFirst ? "before" : "after";
      test(`are no doubts once the endpoint lists their ends '${how}' ${when} the job is read`, () => {
        const { starts, outcome } = runUnderSchedulers({ how, isListedFirst });

        assert.equal(outcome, undefined);
        assert.equal(starts.length, SCHEDULERS);
      });
    }
  }

  test("are no doubts where the version before has written the progress in between", () => {
    const { starts } = runUnderSchedulers({
      how: "lapsed",
      isListedFirst: true,
      rewrite: ({ doubtfulRuns: _, ...row }) => row,
    });

    assert.ok(starts.length >= 5, `${starts.length} starts`);
  });

  test("are settled once each, however often their ends are listed", () => {
    const once = runUnderSchedulers({ how: "lapsed", isListedFirst: true });
    const again = runUnderSchedulers({
      how: "lapsed",
      isListedFirst: true,
      isListedAgain: true,
    });

    assert.deepEqual(again.progress, once.progress);
  });
});

/** Starts a task that has one doubtful start, so that the next start is counted as well. */
function startCounted() {
  const driver = createSchedulerDriver();
  driver.addIdleEndpoint("e1");
  driver.submitStored({ id: "j" }, {
    progress: {
      done: [],
      failedRuns: [],
      doubtfulRuns: [{ task: 0, run: 2 }],
    },
    mayHaveRun: false,
  });
  driver.confirmSaved();
  driver.advanceTo(100);
  const [start] = driver.starts;
  assert.equal(start.task.doubtfulRuns.length, 2);
  return { driver, start };
}

test("a counted start that the endpoint rejects is no doubt, whatever the reason", () => {
  for (const reason of ["olderRun", "noRoom", "expired"] as const) {
    const { driver, start } = startCounted();
    driver.reply(start, { type: "rejected", reason });
    driver.setUnresponsive("e1");

    assert.ok(!start.task.doubtfulRuns.includes(start.run), reason);
  }
});

describe("the end of a counted start", () => {
  // The scheduler could end between the acknowledgement and the save, and the doubt stayed.
  test("stays listed until the store knows that the start is no doubt any more", () => {
    const { driver, start } = startCounted();
    driver.reply(start, { type: "accepted" });
    driver.list("e1", {
      ended: [{
        number: 1,
        task: start.task.name,
        run: start.run,
        how: "lapsed",
      }],
    });

    assert.equal(driver.readAcknowledged("e1"), 0);
    driver.confirmSaved();
    assert.equal(driver.readAcknowledged("e1"), 1);
    assert.equal(start.task.doubtfulRuns.length, 1);
  });
});
