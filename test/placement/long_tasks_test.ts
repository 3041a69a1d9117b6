import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { classifyLateRun } from "../../src/placement/classify_late_run.ts";
import { createRunPace } from "../../src/placement/create_run_pace.ts";
import { updateRunPace } from "../../src/placement/update_run_pace.ts";
import type { Start } from "../fixtures/create_scheduler_driver.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const RUN_MS = 200;
/** How many times longer than its caller said a long job takes; some callers have a few such jobs in a hundred. */
const LONG_SCALE = 7;
const LISTING_MS = 60;

const LATE_RUN = {
  scale: 6,
  recentScale: 6,
  isReliable: true,
  progress: 0.1,
};
const NOTHING_KNOWN = {
  siblingScales: [],
  hasUnlistedSiblings: false,
  neighbourScales: [],
};

/** Starts a job of one task an endpoint at four idle endpoints, each of which has capacity for two tasks. */
function startJob() {
  const driver = createSchedulerDriver();
  for (const id of ["e1", "e2", "e3", "e4", "spare"]) {
    driver.addIdleEndpoint(id);
  }
  driver.advanceTo(1);
  driver.submit({
    id: "j",
    steps: [createStep(4, { estimateMs: RUN_MS, mostPerEndpoint: 1 })],
  });
  for (const start of driver.starts) driver.reply(start, { type: "accepted" });
  return driver;
}

/** Lets time pass and lists every run by the scale that `readScale` gives for its endpoint. */
function listRuns(
  driver: ReturnType<typeof createSchedulerDriver>,
  options: { untilMs: number; readScale: (endpointId: string) => number },
): void {
  const progress = new Map<Start, number>();
  for (let atMs = LISTING_MS; atMs <= options.untilMs; atMs += LISTING_MS) {
    driver.advanceTo(atMs);
    for (const start of driver.starts.slice(0, 4)) {
      const { endpointId, task, run } = start;
      const scale = options.readScale(endpointId);
      const done = (progress.get(start) ?? 0) + LISTING_MS / RUN_MS / scale;
      progress.set(start, done);
      driver.list(endpointId, {
        clockMs: atMs,
        running: [{ task: task.name, run, progress: Math.min(0.99, done) }],
      });
    }
  }
  driver.advanceTo(options.untilMs + 20);
}

/** Lists the endpoints where runs were stopped; a stop is requested again until the endpoint confirms it. */
function listStoppedAt(
  driver: ReturnType<typeof createSchedulerDriver>,
): string[] {
  return [...new Set(driver.stops.map(({ endpointId }) => endpointId))];
}

describe("load with a few long jobs among many short ones", () => {
  test("the tasks of a long job go on where they run, and the job counts as in time", () => {
    const driver = startJob();
    const [job] = driver.state.jobs.values();
    const firstObjectiveMs = job.objectiveMs;

    listRuns(driver, { untilMs: 900, readScale: () => LONG_SCALE });

    assert.deepEqual(driver.stops, []);
    const slow = driver.events.filter(({ event }) => event === "endpointSlow");
    assert.deepEqual(slow, []);
    assert.ok(job.objectiveMs > firstObjectiveMs);
    for (const task of job.tasks) {
      assert.ok(task.expectedEndMs <= job.objectiveMs);
    }
    const long = driver.events.filter(({ event }) => event === "jobLong");
    assert.equal(long.length, 1);
  });

  test("a run that alone is slow in its job is moved, and its endpoint counts as slow", () => {
    const driver = startJob();
    const slowId = driver.starts[0].endpointId;

    listRuns(driver, {
      untilMs: 120,
      readScale: (id) => id === slowId ? LONG_SCALE : 1,
    });

    assert.deepEqual(listStoppedAt(driver), [slowId]);
    const slowness = driver.state.endpoints.get(slowId)?.slowness ?? 0;
    assert.ok(slowness > 2, `slowness ${slowness}`);
  });

  test("a slow run of a long job is moved as well", () => {
    const driver = startJob();
    const slowId = driver.starts[0].endpointId;

    listRuns(driver, {
      untilMs: 600,
      readScale: (id) => id === slowId ? LONG_SCALE * 6 : LONG_SCALE,
    });

    assert.deepEqual(listStoppedAt(driver), [slowId]);
  });
});

describe("an endpoint that stops making progress", () => {
  test("a run that stands still in the middle is moved, although the endpoint's other runs go on", () => {
    const cause = classifyLateRun(
      { ...LATE_RUN, scale: 1.6, recentScale: 4 },
      { ...NOTHING_KNOWN, siblingScales: [1], neighbourScales: [1] },
    );

    assert.equal(cause, "slowEndpoint");
  });

  test("a run that never begins is moved, although the endpoint's other runs go on", () => {
    const cause = classifyLateRun(
      { ...LATE_RUN, isReliable: false, progress: 0 },
      { ...NOTHING_KNOWN, siblingScales: [1], neighbourScales: [1] },
    );

    assert.equal(cause, "slowEndpoint");
  });
});

describe("the cause of a late run", () => {
  test("a run that takes about as long as expected is expected to be late", () => {
    const run = { ...LATE_RUN, scale: 1.2, recentScale: 1.2 };

    assert.equal(classifyLateRun(run, NOTHING_KNOWN), "expected");
  });

  test("the endpoint is slow if nothing else explains the run", () => {
    assert.equal(classifyLateRun(LATE_RUN, NOTHING_KNOWN), "slowEndpoint");
  });

  test("the endpoint is slow if its other runs are slow too", () => {
    const others = { ...NOTHING_KNOWN, neighbourScales: [5, 7] };

    assert.equal(classifyLateRun(LATE_RUN, others), "slowEndpoint");
  });

  test("the task is long if the endpoint's other runs are as fast as expected", () => {
    const others = { ...NOTHING_KNOWN, neighbourScales: [1, 0.8] };

    assert.equal(classifyLateRun(LATE_RUN, others), "longTask");
  });

  test("is unknown until the job's other runs are listed", () => {
    const others = { ...NOTHING_KNOWN, hasUnlistedSiblings: true };

    assert.equal(classifyLateRun(LATE_RUN, others), "unknown");
  });
});

describe("the pace of a run", () => {
  test("follows from its progress, and its recent pace shows that it slows down", () => {
    const pace = createRunPace(RUN_MS);
    updateRunPace(pace, { progress: 0.5, elapsedMs: 100 });
    assert.equal(pace.scale, 1);

    updateRunPace(pace, { progress: 0.5, elapsedMs: 300 });

    assert.equal(pace.scale, 3);
    assert.ok(pace.recentScale > 2 * pace.scale);
  });
});
