import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import type { KnownProgress } from "../../src/scheduler/known_progress.ts";
import { setEndpointTakenOver } from "../../src/scheduler/set_endpoint_taken_over.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { createOpenJobs } from "../../src/vm/create_open_jobs.ts";
import type { SchedulerLink } from "../../src/vm/scheduler_link.ts";
import {
  createOrder,
  createSchedulerDriver,
} from "../fixtures/create_scheduler_driver.ts";

function createLink(epoch: number, submit: SchedulerLink["submit"]) {
  const link: SchedulerLink = {
    epoch,
    isSolo: false,
    submit,
    abandon: () => {},
    leave: () => Promise.resolve(),
    close: () => {},
  };
  return link;
}

/** Guards against a task that runs twice: an earlier scheduler that is cut off still accepts links, and may still have the jobs of a VM that returns to it. */
describe("a job whose VM is linked to an earlier scheduler again", () => {
  let jobs: ReturnType<typeof createOpenJobs>;

  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    jobs = createOpenJobs(() => {});
  });
  afterEach(() => {
    jobs.close();
    mock.timers.reset();
    mock.restoreAll();
  });

  /** Links the VM of one job to schedulers of these epochs in turn; returns the epochs of the schedulers that get the job. */
  function submitTo(epochs: number[]): number[] {
    const submitted: number[] = [];
    const progress: KnownProgress[] = [];
    for (const epoch of epochs) {
      const submit: SchedulerLink["submit"] = (_order, known) => {
        submitted.push(epoch);
        progress.push(known);
      };
      jobs.setLink(createLink(epoch, submit));
      if (jobs.isEmpty()) jobs.submit(createOrder({ id: "j" }), () => {});
      jobs.setLink(undefined);
    }
    assert.ok(progress.every(({ wasSolo }) => !wasSolo));
    assert.ok(progress.slice(1).every(({ isResubmitted }) => isResubmitted));
    return submitted;
  }

  test("stays with the later scheduler, which may still run it", () => {
    assert.deepEqual(submitTo([18, 19, 18, 17, 19, 20, 19]), [18, 19, 19, 20]);
  });

  test("is resubmitted to the same scheduler and to later ones", () => {
    assert.deepEqual(submitTo([18, 18, 19]), [18, 18, 19]);
  });

  test("is answered in time although it stays with the later scheduler", () => {
    const outcomes: JobOutcome[] = [];
    const startedMs = performance.now();
    const now = mock.method(performance, "now", () => startedMs);
    jobs.setLink(createLink(19, () => {}));
    jobs.submit(
      createOrder({ id: "j" }),
      (outcome) => outcomes.push(outcome),
    );
    // A linked VM stops the review of jobs that have no scheduler.
    mock.timers.tick(200);
    jobs.setLink(undefined);
    jobs.setLink(createLink(18, () => {}));
    // The job may wait for three times its latency objective minus its critical path.
    now.mock.mockImplementation(() => startedMs + 4_000);
    mock.timers.tick(100);

    assert.deepEqual(outcomes, [{ type: "failed", reason: "outOfTime" }]);
  });

  test("starts no task that the later scheduler may have started", () => {
    const driver = createSchedulerDriver({ token: 1_800 });
    driver.advanceTo(10);
    for (const id of ["e1", "e2", "e3"]) driver.addIdleEndpoint(id);
    const earlier = createLink(18, driver.submit);
    jobs.setLink(earlier);
    jobs.submit(createOrder({ id: "j" }), () => {});
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 10 });
    jobs.setLink(undefined);

    // The later scheduler reaches two endpoints, and starts the task on e2.
    jobs.setLink(createLink(19, () => {}));
    jobs.events.placed("j.0.0.0", "e2");
    for (const id of ["e1", "e2"]) setEndpointTakenOver(driver.state, id);
    driver.advanceTo(1_300);
    assert.equal(driver.state.endpoints.get("e1")?.runs.size, 0);
    jobs.setLink(undefined);
    jobs.setLink(earlier);
    driver.advanceTo(1_320);

    assert.equal(driver.starts.length, 1);
  });
});
