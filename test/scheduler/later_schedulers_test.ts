import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";

/** Guards against a task that runs twice because another scheduler acted after the latest listings that this scheduler has received. */
describe("another scheduler acts after the latest listings", () => {
  test("a task starts nowhere until the endpoint that its VM reports has been listed again", () => {
    const driver = createSchedulerDriver({ token: 1_800 });
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.addIdleEndpoint("e3");
    const earlier = { task: "j.0.0.0", run: 1_700_001, progress: 0 };
    driver.list("e1", { running: [earlier] });
    // The earlier scheduler's run on e1 is being stopped as a foreign run.
    driver.advanceTo(450);
    // In solo mode the VM has started the task on e2, which now obeys the VM and has not been listed since.
    driver.submit({ id: "j" }, {
      done: [],
      placed: [{ task: "j.0.0.0", endpointId: "e2" }],
      isResubmitted: true,
      wasSolo: true,
    });
    driver.advanceTo(470);
    driver.list("e1", {
      ended: [{ number: 1, task: "j.0.0.0", run: earlier.run, how: "stopped" }],
    });
    driver.advanceTo(490);

    assert.deepEqual(driver.starts, []);
  });

  test("an endpoint that is unresponsive and left the list is removed even if it listed a run end of an unknown stored job", () => {
    const driver = createSchedulerDriver({ hasKeptJobs: true });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "s.0.0.0", run: 100_002, how: "done" }],
    });
    driver.setUnresponsive("e1");
    driver.dropRow("e1");
    driver.addIdleEndpoint("e2");
    driver.advanceTo(20_000);
    driver.updateRow("e2", {});

    assert.deepEqual([...driver.state.endpoints.keys()], ["e2"]);
  });

  test("a scheduler that may have been replaced stops a lost VM's job a full lease before a later scheduler starts its tasks", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.state.roleExclusiveUntilMs = 290;
    driver.advanceTo(350);
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 350 });
    // If the VM resubmits to a later scheduler at 360 ms, the later scheduler holds the task for 2500 ms. A lease expires 1100 ms after it was last extended.
    driver.advanceTo(1_740);

    assert.equal(driver.stops.length, 1);
  });
});
