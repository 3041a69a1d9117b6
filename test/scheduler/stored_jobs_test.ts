import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { countPending } from "../../src/scheduler/count_pending.ts";
import { canHaveStoredJobs } from "../../src/scheduler/can_have_stored_jobs.ts";
import { isStoredJobRun } from "../../src/scheduler/is_stored_job_run.ts";
import { decodeProgress } from "../../src/stored_jobs/decode_progress.ts";
import { encodeProgress } from "../../src/stored_jobs/encode_progress.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

describe("stored jobs at the scheduler", () => {
  test("a run end is acknowledged only after its effect is in the store", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "j", steps: [createStep(2)] });

    driver.end(driver.starts[0], "done", 1);
    assert.equal(driver.readAcknowledged("e1"), 0);

    driver.confirmSaved();
    assert.equal(driver.readAcknowledged("e1"), 1);
  });

  test("run ends of other jobs are not acknowledged before an earlier one that is not in the store yet", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "j" });
    driver.submit({ id: "k" });

    driver.end(driver.starts[1], "done", 1);
    driver.end(driver.starts[0], "done", 2);
    assert.equal(driver.readAcknowledged("e1"), 1);
  });

  test("no run end is acknowledged before the stored jobs have been read", () => {
    const driver = createSchedulerDriver({
      token: 200,
      areStoredJobsRead: false,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: 100_002, how: "done" }],
    });
    assert.equal(driver.readAcknowledged("e1"), 0);

    driver.submitStored({ id: "j" }, { mayHaveRun: true });
    driver.state.areStoredJobsRead = true;
    assert.equal(driver.readAcknowledged("e1"), 0);
    assert.equal(driver.starts.length, 0);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });

    driver.confirmSaved();
    assert.equal(driver.readAcknowledged("e1"), 1);
  });

  // Run ends that were listed before their job was read were forgotten after
  // 10 s, and acknowledged as soon as the stored jobs had been read.
  test("a run end counts however long the stored jobs can't be read after it was listed", () => {
    const driver = createSchedulerDriver({
      token: 200,
      areStoredJobsRead: false,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: 100_002, how: "done" }],
    });
    for (let atMs = 1_000; atMs <= 20_000; atMs += 1_000) {
      driver.advanceTo(atMs);
    }

    driver.submitStored({ id: "j" }, { mayHaveRun: true });
    driver.state.areStoredJobsRead = true;
    driver.advanceTo(24_000);
    assert.equal(driver.starts.length, 0);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("run ends of best-effort jobs are acknowledged at once, even after a takeover", () => {
    const driver = createSchedulerDriver({
      token: 200,
      areStoredJobsRead: false,
      hasKeptJobs: true,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [
        { number: 1, task: "i.0.0.0", run: 100_001, how: "done" },
        { number: 2, task: "j.0.0.0", run: 100_002, how: "done" },
      ],
    });
    assert.equal(driver.readAcknowledged("e1"), 1);
  });

  test("a run's number shows whether its job is stored, whichever scheduler started it", () => {
    for (const token of [100, 101, 200]) {
      const driver = createSchedulerDriver({ token });
      driver.addIdleEndpoint("e1");
      driver.addIdleEndpoint("e2");
      driver.submit({ id: "i" });
      driver.submitStored({ id: "j" });
      for (let number = 1; number <= 2; number += 1) {
        for (const start of driver.starts.slice(-2)) {
          driver.end(start, "failed", number);
        }
      }
      const stored = driver.starts.filter(({ task }) => task.job.order.isKept);
      const others = driver.starts.filter(({ task }) => !task.job.order.isKept);

      assert.ok(stored.length > 1 && others.length > 1);
      assert.ok(stored.every(({ run }) => isStoredJobRun(run)));
      assert.ok(!others.some(({ run }) => isStoredJobRun(run)));
      assert.ok(stored[1].run > stored[0].run);
    }
  });

  test("foreign runs are not stopped before the stored jobs have been read", () => {
    const driver = createSchedulerDriver({
      token: 200,
      areStoredJobsRead: false,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      running: [{ task: "j.0.0.0", run: 100_002, progress: 0 }],
    });
    driver.advanceTo(1_000);

    assert.equal(driver.stops.length, 0);
  });

  test("a run end of an unknown job is acknowledged after a time-out", () => {
    const driver = createSchedulerDriver({ token: 200, hasKeptJobs: true });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: 100_002, how: "done" }],
    });

    assert.equal(driver.readAcknowledged("e1"), 0);
    driver.advanceTo(2_100);
    assert.equal(driver.readAcknowledged("e1"), 1);
  });

  test("a solo VM acknowledges no run end of an unknown stored job while the endpoint's lease lasts", () => {
    const driver = createSchedulerDriver({
      token: 201,
      isSolo: true,
      hasKeptJobs: true,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: 200_002, how: "done" }],
    });
    driver.advanceTo(1_000);

    assert.equal(driver.readAcknowledged("e1"), 0);
  });

  test("a task that an earlier scheduler has saved as done is not run again", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");

    driver.submitStored({ id: "j", steps: [createStep(2)] }, {
      progress: { done: [true, false], failedRuns: [] },
      mayHaveRun: true,
    });
    driver.advanceTo(20);

    assert.deepEqual(driver.starts.map(({ task }) => task.name), ["j.0.0.1"]);
  });

  test("each failed run under an earlier scheduler counts once", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [
        { number: 1, task: "j.0.0.0", run: 100_002, how: "failed" },
        { number: 2, task: "j.0.0.0", run: 100_004, how: "failed" },
      ],
    });

    driver.submitStored({ id: "j", maxAttempts: 3 }, {
      progress: {
        done: [false],
        failedRuns: [{ task: 0, run: 100_002 }],
      },
      mayHaveRun: true,
    });

    const [task] = driver.state.jobs.get("j")?.tasks ?? [];
    assert.deepEqual(task.failedRuns, [100_002, 100_004]);
    assert.equal(driver.outcomes.has("j"), false);
  });

  // A failed run was counted only if its number was above that of the last one
  // counted, so that a task was started again after its last attempt.
  test("failed runs under an earlier scheduler count in whichever order they are listed, before and after the job is read", () => {
    const runs = [100_002, 100_004, 100_006];
    for (const order of [[0, 1, 2], [1, 0, 2], [2, 1, 0], [1, 2, 0]]) {
      for (let readAfter = 0; readAfter <= 3; readAfter += 1) {
        const driver = createSchedulerDriver({ token: 200 });
        for (const id of ["e0", "e1", "e2"]) driver.addIdleEndpoint(id);
        order.forEach((index, position) => {
          if (position === readAfter) submit(driver);
          const run = runs[index];
          const end = { task: "j.0.0.0", run, how: "failed" } as const;
          driver.list(`e${index}`, { ended: [{ ...end, number: 1 }] });
        });
        if (readAfter === 3) submit(driver);

        assert.equal(driver.starts.length, 0);
        assert.deepEqual(driver.outcomes.get("j"), {
          type: "failed",
          reason: "attemptsUsed",
        });
      }
    }

    function submit(driver: ReturnType<typeof createSchedulerDriver>): void {
      driver.submitStored({ id: "j", maxAttempts: 3 }, { mayHaveRun: true });
    }
  });

  test("a failed run that an earlier scheduler has saved does not count again when it is listed after a later one", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "j", maxAttempts: 3 }, {
      progress: { done: [false], failedRuns: [{ task: 0, run: 100_002 }] },
      mayHaveRun: true,
    });

    const end = { task: "j.0.0.0", how: "failed" } as const;
    driver.list("e1", {
      ended: [
        { ...end, number: 1, run: 100_004 },
        { ...end, number: 2, run: 100_002 },
      ],
    });
    assert.equal(driver.outcomes.has("j"), false);
  });

  test("a job whose attempts an earlier scheduler has used up ends as failed", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");

    driver.submitStored({ id: "j", maxAttempts: 2 }, {
      progress: {
        done: [false],
        failedRuns: [{ task: 0, run: 100_006 }, { task: 0, run: 100_009 }],
      },
      mayHaveRun: true,
    });

    assert.equal(driver.starts.length, 0);
    assert.deepEqual(driver.outcomes.get("j"), {
      type: "failed",
      reason: "attemptsUsed",
    });
  });

  test("a job that an earlier scheduler may have started is held until every endpoint has listed its runs", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addIdleEndpoint("e1");
    driver.addEndpoint("e2");

    driver.submitStored({ id: "j" }, { mayHaveRun: true });
    driver.advanceTo(100);
    assert.equal(driver.starts.length, 0);

    driver.list("e2");
    driver.advanceTo(120);
    assert.equal(driver.starts.length, 1);
  });

  test("a task whose start was not answered starts again only after a listing requested after its stop shows no run end", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "unanswered" });
    driver.confirmStop(first);
    driver.advanceTo(200);
    assert.equal(driver.starts.length, 1);

    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: first.run, how: "done" }],
    });
    driver.advanceTo(400);
    assert.equal(driver.starts.length, 1);
    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
  });

  test("a task whose older run is done is done, and its later run is stopped", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.submitStored({ id: "j" });
    const [start] = driver.starts;
    const other = start.endpointId === "e1" ? "e2" : "e1";

    driver.list(other, {
      ended: [{ number: 1, task: "j.0.0.0", run: 8, how: "done" }],
    });

    assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
    assert.deepEqual(driver.stops.map(({ run }) => run), [start.run]);
  });

  test("a task counts as done only once when both its older and its later run are done", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    const steps = [createStep(1), createStep(1, { after: [0] })];
    driver.submitStored({ id: "j", steps });
    const [start] = driver.starts;
    const other = start.endpointId === "e1" ? "e2" : "e1";

    driver.list(other, {
      ended: [{ number: 1, task: "j.0.0.0", run: 8, how: "done" }],
    });
    driver.end(start, "done", 1);

    assert.equal(driver.outcomes.has("j"), false);
    assert.equal(driver.state.jobs.get("j")?.openTaskCount, 1);
  });

  test("no task is started while another process may hold the scheduler role", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.state.roleExclusiveUntilMs = 100;
    driver.advanceTo(200);
    driver.submitStored({ id: "j" });
    driver.submit({ id: "k" });
    assert.deepEqual(driver.starts.map(({ task }) => task.name), ["k.0.0.0"]);

    driver.state.roleExclusiveUntilMs = 1_000;
    driver.advanceTo(220);
    assert.equal(driver.starts.length, 2);
  });

  // Doubtful starts are saved with the progress, whose row meant that the job had started.
  test("a job of which starts are only in doubt counts as pending under a later scheduler", () => {
    const earlier = createSchedulerDriver({ token: 200 });
    earlier.addIdleEndpoint("e1");
    earlier.addEndpoint("e2");
    earlier.submitStored({ id: "j" }, { mayHaveRun: true });
    earlier.advanceTo(2_000);
    const job = earlier.state.jobs.get("j");
    assert.ok(job && earlier.state.unsaved.has(job));

    const later = createSchedulerDriver({ token: 300 });
    later.addEndpoint("e1");
    const row = encodeProgress(job);
    const progress = decodeProgress(row, job.order);
    later.submitStored({ id: "j" }, { mayHaveRun: true, progress });
    assert.deepEqual(countPending(later.state), { proofs: 1 });

    later.list("e1");
    later.advanceTo(20);
    later.confirmSaved();
    later.advanceTo(40);
    assert.equal(later.starts.length, 1);
    assert.deepEqual(countPending(later.state), { proofs: 1 });
    later.reply(later.starts[0], { type: "accepted" });
    assert.deepEqual(countPending(later.state), {});
    const { isUnstarted } = encodeProgress(later.starts[0].task.job);
    assert.equal(isUnstarted, undefined);
  });

  test("jobs of an earlier scheduler count as pending unless a task is known to have started", () => {
    const driver = createSchedulerDriver({ token: 200 });
    driver.addEndpoint("e1");
    driver.addEndpoint("e2");
    driver.list("e1", {
      running: [{ task: "running.0.0.0", run: 100_002, progress: 0.1 }],
    });
    const progress = { done: [false], failedRuns: [] };
    driver.submitStored({ id: "waits" }, { mayHaveRun: true });
    driver.submitStored({ id: "running" }, { mayHaveRun: true });
    driver.submitStored({ id: "begun" }, { mayHaveRun: true, progress });

    assert.deepEqual(countPending(driver.state), { proofs: 1 });

    driver.list("e2");
    driver.advanceTo(20);
    assert.equal(driver.starts.length, 2);
    assert.deepEqual(countPending(driver.state), { proofs: 1 });
    for (const start of driver.starts) {
      driver.reply(start, { type: "accepted" });
    }
    assert.deepEqual(countPending(driver.state), {});
  });

  test("the lease of an endpoint with a stored job's runs expires before a later scheduler may start them again", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.submitStored({ id: "j" });
    const [{ endpointId }] = driver.starts;
    const other = endpointId === "e1" ? "e2" : "e1";
    driver.state.roleExclusiveUntilMs = 100;

    driver.advanceTo(1_050);
    assert.notEqual(driver.readLeaseEnd(endpointId), undefined);
    driver.advanceTo(1_150);
    assert.equal(driver.readLeaseEnd(endpointId), undefined);
    assert.notEqual(driver.readLeaseEnd(other), undefined);

    driver.advanceTo(2_400);
    assert.notEqual(driver.readLeaseEnd(endpointId), undefined);
  });

  test("run ends listed before the stored jobs were read are acknowledged at once if there are no stored jobs", () => {
    const driver = createSchedulerDriver({
      token: 200,
      areStoredJobsRead: false,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: 100_002, how: "done" }],
    });
    assert.equal(driver.readAcknowledged("e1"), 0);

    driver.state.areStoredJobsRead = true;
    assert.equal(driver.readAcknowledged("e1"), 1);
  });

  test("there may be stored jobs as long as they have not been read", () => {
    const unread = { hasKeptJobs: false, areStoredJobsRead: false };

    assert.ok(canHaveStoredJobs(unread));
    assert.ok(!canHaveStoredJobs({ ...unread, areStoredJobsRead: true }));
  });

  test("a solo VM lets the lease of an endpoint expire that listed a run end of an unknown stored job", () => {
    const driver = createSchedulerDriver({
      token: 201,
      isSolo: true,
      hasKeptJobs: true,
    });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: 200_002, how: "done" }],
    });
    driver.submit({ id: "k" });
    assert.equal(driver.starts.length, 0);
    assert.equal(driver.readLeaseEnd("e1"), undefined);

    driver.advanceTo(1_200);
    assert.equal(driver.starts.length, 1);
    assert.equal(driver.readAcknowledged("e1"), 1);
  });

  test("a task is held for an endpoint that was in the store's list before the takeover and is not now", () => {
    const driver = createSchedulerDriver({
      token: 200,
      knownEndpointIds: ["e1", "e2"],
    });
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "j" }, { mayHaveRun: true });
    driver.advanceTo(1_600);
    driver.confirmSaved();
    assert.equal(driver.starts.length, 0);

    driver.advanceTo(2_600);
    driver.confirmSaved();
    driver.advanceTo(2_620);
    assert.equal(driver.starts.length, 1);
  });

  test("a job runs to its end even if it is late or its VM is lost", () => {
    const driver = createSchedulerDriver();
    driver.submitStored({ id: "j" });
    driver.advanceTo(60_000);
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 60_000 });
    driver.advanceTo(70_000);
    assert.equal(driver.outcomes.size, 0);

    driver.addIdleEndpoint("e1");
    driver.advanceTo(70_020);
    assert.equal(driver.starts.length, 1);
  });

  test("a cancelled job starts no more tasks and stops its active runs", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "j", steps: [createStep(3)] });
    const started = driver.starts.length;

    driver.cancel("j");
    driver.advanceTo(1_000);

    assert.equal(driver.starts.length, started);
    assert.equal(driver.stops.length, started);
    assert.deepEqual(driver.outcomes.get("j"), {
      type: "failed",
      reason: "cancelled",
    });
  });

  test("a restarted endpoint process lists its run ends from number 1", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "j", steps: [createStep(2)] });
    driver.end(driver.starts[0], "done", 1);
    driver.list("e1", { processStartMs: 2 });

    assert.equal(driver.readAcknowledged("e1"), 0);
    assert.equal(driver.state.endpoints.get("e1")?.unacknowledgedEnds.size, 0);
  });

  test("a run end whose effect is not in the store yet stays unacknowledged when its endpoint leaves the store's list and returns", () => {
    const driver = createSchedulerDriver();
    driver.addIdleEndpoint("e1");
    driver.submitStored({ id: "s", steps: [createStep(2)] });
    const [{ task, run }, other] = driver.starts;
    driver.reply(driver.starts[0], { type: "accepted" });
    driver.reply(other, { type: "rejected", reason: "unhealthy" });
    const ended = [{ number: 1, task: task.name, run, how: "done" as const }];
    driver.list("e1", { ended });
    assert.equal(driver.readAcknowledged("e1"), 0);
    driver.dropRow("e1");
    driver.addEndpoint("e1");

    driver.list("e1", { ended });

    assert.equal(driver.readAcknowledged("e1"), 0);
  });
});
