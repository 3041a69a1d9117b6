import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";

/** Guards against two deciders that count on from the same run: the other acted after what this scheduler knows. */
describe("what another decider did after this scheduler last heard", () => {
  test("of its jobs a task starts nowhere while the place that their VM names was not listed since", () => {
    const driver = createSchedulerDriver({ token: 1_800 });
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.addIdleEndpoint("e2");
    driver.addIdleEndpoint("e3");
    const earlier = { task: "j.0.0.0", run: 1_700_001, progress: 0 };
    driver.list("e1", { running: [earlier] });
    // An earlier scheduler's run, which is being stopped.
    driver.advanceTo(450);
    // Its listing is held back by e2, which obeys the VM by now.
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

  test("a record is dropped when its endpoint has died and left the list, also with an end of an unknown stored job", () => {
    const driver = createSchedulerDriver({ hasKeptJobs: true });
    driver.addEndpoint("e1");
    driver.list("e1", {
      ended: [{ number: 1, task: "s.0.0.0", run: 100_002, how: "done" }],
    });
    driver.silence("e1");
    driver.dropRow("e1");
    driver.addIdleEndpoint("e2");
    driver.advanceTo(20_000);
    driver.updateRow("e2", {});

    assert.deepEqual([...driver.state.endpoints.keys()], ["e2"]);
  });

  test("a scheduler that may have been replaced gives a lost VM's job up a whole lease before another starts its tasks", () => {
    const driver = createSchedulerDriver();
    driver.advanceTo(10);
    driver.addIdleEndpoint("e1");
    driver.submit({ id: "j" });
    const [first] = driver.starts;
    driver.reply(first, { type: "accepted" });
    driver.state.roleExclusiveUntilMs = 290;
    driver.advanceTo(350);
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 350 });
    // Handed in to the later one at 360, which waits for 2500, and the lease ends 1100 after the last extension.
    driver.advanceTo(1_740);

    assert.equal(driver.stops.length, 1);
  });
});
