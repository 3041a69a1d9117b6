import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import type { KnownProgress } from "../../src/scheduler/known_progress.ts";
import { setEndpointTaken } from "../../src/scheduler/set_endpoint_taken.ts";
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

/** Guards against a task that runs twice: a scheduler that is cut off turns no VM away, and may have kept the VM's jobs from before. */
describe("a job that comes back to an earlier scheduler", () => {
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

  /** Links the VM of one job to schedulers of these epochs in turn; tells which of them get it. */
  function handTo(epochs: number[]): number[] {
    const handed: number[] = [];
    const told: KnownProgress[] = [];
    for (const epoch of epochs) {
      const submit: SchedulerLink["submit"] = (_order, known) => {
        handed.push(epoch);
        told.push(known);
      };
      jobs.setLink(createLink(epoch, submit));
      if (jobs.isEmpty()) jobs.submit(createOrder({ id: "j" }), () => {});
      jobs.setLink(undefined);
    }
    assert.ok(told.every(({ wasSolo }) => !wasSolo));
    assert.ok(told.slice(1).every(({ isResubmitted }) => isResubmitted));
    return handed;
  }

  test("is left to the later one, which may still run it", () => {
    assert.deepEqual(handTo([18, 19, 18, 17, 19, 20, 19]), [18, 19, 19, 20]);
  });

  test("is taken up as before by the same scheduler and by later ones", () => {
    assert.deepEqual(handTo([18, 18, 19]), [18, 18, 19]);
  });

  test("is answered in its time all the same", () => {
    const outcomes: JobOutcome[] = [];
    const beganMs = performance.now();
    const now = mock.method(performance, "now", () => beganMs);
    jobs.setLink(createLink(19, () => {}));
    jobs.submit(
      createOrder({ id: "j" }),
      (outcome) => outcomes.push(outcome),
    );
    // Linked to a scheduler, a VM stops looking after jobs without one.
    mock.timers.tick(200);
    jobs.setLink(undefined);
    jobs.setLink(createLink(18, () => {}));
    // Three times its objective, less the time that it takes.
    now.mock.mockImplementation(() => beganMs + 4_000);
    mock.timers.tick(100);

    assert.deepEqual(outcomes, [{ type: "failed", reason: "outOfTime" }]);
  });

  test("starts nowhere beside what the later one may have begun", () => {
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
    for (const id of ["e1", "e2"]) setEndpointTaken(driver.state, id);
    driver.advanceTo(1_300);
    assert.equal(driver.state.endpoints.get("e1")?.runs.size, 0);
    jobs.setLink(undefined);
    jobs.setLink(earlier);
    driver.advanceTo(1_320);

    assert.equal(driver.starts.length, 1);
  });
});
