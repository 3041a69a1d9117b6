import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { applyEvacuations } from "../../src/evacuation/apply_evacuations.ts";
import { chooseEndpointToIsolate } from "../../src/scheduler/choose_endpoint_to_isolate.ts";
import { computeServiceCapacity } from "../../src/scheduler/compute_service_capacity.ts";
import { describeGauges } from "../../src/scheduler/describe_gauges.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import { createEvacuatedDriver } from "../fixtures/create_evacuated_driver.ts";

function listEndpoints(driver: ReturnType<typeof createEvacuatedDriver>) {
  return driver.starts.map(({ endpointId }) => endpointId);
}

describe("callers keep sending while an operator empties a data centre", () => {
  test("nothing starts there, and jobs wait for the endpoints of the others", () => {
    const driver = createEvacuatedDriver();
    driver.evacuate(["a"]);
    for (const id of ["j1", "j2", "j3"]) driver.submit({ id });
    driver.advanceTo(100);
    assert.deepEqual(listEndpoints(driver), ["b1", "b1"]);
    driver.end(driver.starts[0], "done", 1);

    assert.deepEqual(listEndpoints(driver), ["b1", "b1", "b1"]);
    assert.equal(driver.outcomes.get("j1")?.type, "completed");
  });

  test("a run that goes on there ends by itself", () => {
    const driver = createEvacuatedDriver();
    driver.submit({ id: "j1", steps: [createStep(4)] });
    driver.evacuate(["a"]);
    driver.advanceTo(400);
    assert.equal(driver.stops.length, 0);
    driver.starts.forEach((start, index) =>
      driver.end(start, "done", index + 1)
    );

    assert.equal(driver.outcomes.get("j1")?.type, "completed");
  });

  test("a task whose run there failed is tried again elsewhere", () => {
    const driver = createEvacuatedDriver();
    driver.submit({ id: "j1", steps: [createStep(3)] });
    driver.evacuate(["a"]);
    const there = driver.starts.filter(({ endpointId }) => endpointId === "a1");
    there.forEach((start, index) => driver.end(start, "failed", index + 1));
    const here = driver.starts.filter(({ endpointId }) => endpointId === "b1");
    here.forEach((start, index) => driver.end(start, "done", index + 1));
    driver.advanceTo(1_000);

    const after = driver.starts.slice(3);
    assert.equal(after.length, there.length);
    assert.ok(after.every(({ endpointId }) => endpointId === "b1"));
  });

  test("work returns at once when the data centre is taken back", () => {
    const driver = createEvacuatedDriver();
    driver.evacuate(["a"]);
    driver.submit({ id: "j1", steps: [createStep(4)] });
    assert.equal(driver.starts.length, 2);
    driver.evacuate([]);

    assert.deepEqual(listEndpoints(driver).slice(2), ["a1", "a1"]);
  });

  test("a list of a lower revision changes nothing", () => {
    const driver = createEvacuatedDriver();
    driver.evacuate(["a"], 9);
    driver.evacuate([], 8);
    driver.submit({ id: "j1", steps: [createStep(4)] });

    assert.deepEqual(listEndpoints(driver), ["b1", "b1"]);
  });

  test("no suspect gets an endpoint there, and one that was kept for it is free again", () => {
    const driver = createEvacuatedDriver();
    driver.submit({ id: "j1" });
    const [{ task }] = driver.starts;
    const endpoint = driver.state.endpoints.get("a1");
    assert.ok(endpoint);
    endpoint.isolatedTask = createDetached(task);
    driver.evacuate(["a"]);
    driver.advanceTo(20);
    assert.equal(endpoint.isolatedTask, undefined);

    const chosen = chooseEndpointToIsolate(
      driver.state,
      createDetached(task),
      20,
    );
    assert.equal(chosen?.row.id, "b1");
  });

  test("a start that waits for the store is not sent there any more", () => {
    const driver = createEvacuatedDriver();
    driver.submitStored({ id: "j1" });
    const [{ task, run }] = driver.starts;
    const endpoint = driver.state.endpoints.get(task.endpointId ?? "");
    assert.ok(endpoint);
    driver.state.countedStarts.set(task, {
      run,
      earlierRun: 0,
      countedMs: 0,
      lossChange: 0,
    });
    driver.evacuate([endpoint.row.dataCentre]);
    driver.advanceTo(20);

    assert.equal(driver.starts.length, 2);
    assert.notEqual(driver.starts[1].endpointId, endpoint.row.id);
  });

  test("its endpoints count for no free capacity", () => {
    const driver = createEvacuatedDriver();
    driver.evacuate(["a"]);

    assert.equal(
      computeServiceCapacity(driver.state).get("layout")?.total,
      16_000,
    );
  });

  test("gauges and a log line say what still runs there, and when nothing does", () => {
    const driver = createEvacuatedDriver();
    driver.submit({ id: "j1", steps: [createStep(4)] });
    driver.evacuate(["a"]);
    driver.advanceTo(100);
    const name = 'evacuated_running_tasks{data_centre="a"}';
    assert.equal(describeGauges(driver.state, 100)[name], 2);
    driver.starts.forEach((start, index) =>
      driver.end(start, "done", index + 1)
    );
    driver.advanceTo(200);

    assert.equal(describeGauges(driver.state, 200)[name], 0);
    const emptied = driver.events.filter(({ event }) =>
      event === "dataCentreEmptied"
    );
    assert.deepEqual(emptied.map(({ fields }) => fields), [
      { dataCentre: "a", tookMs: 200 },
    ]);
  });
});

/** Creates a copy of a task that waits and has lost runs. */
function createDetached<Task extends object>(task: Task): Task {
  return { ...task, phase: "waiting", lostRuns: [{}] };
}

describe("a scheduler that begins during an evacuation", () => {
  function createNew(evacuateMs?: number) {
    const driver = createSchedulerDriver({ evacuateMs });
    driver.addIdleEndpoint("a1");
    return driver;
  }

  test("it starts nothing before it knows the evacuated data centres", () => {
    const driver = createNew(5_000);
    driver.submit({ id: "j1" });
    driver.advanceTo(100);

    assert.equal(driver.starts.length, 0);
    assert.equal(driver.outcomes.size, 0);
  });

  test("it starts tasks as soon as it knows that there are none", () => {
    const driver = createNew(5_000);
    driver.submit({ id: "j1" });
    applyEvacuations(driver.state, { revision: 0, dataCentres: [] }, 0);
    driver.collect();

    assert.equal(driver.starts.length, 1);
  });

  test("it does not wait where the settings give no bound for evacuations", () => {
    const driver = createNew();
    driver.submit({ id: "j1" });

    assert.equal(driver.starts.length, 1);
  });

  test("runs there that an earlier scheduler started are adopted and end by themselves", () => {
    const driver = createEvacuatedDriver();
    driver.evacuate(["a", "b"]);
    const earlier = { task: "j1.0.0.0", run: 7, progress: 0 };
    driver.list("a1", { running: [earlier] });
    driver.submit({ id: "j1" }, {
      isResubmitted: true,
      wasSolo: false,
      done: [],
      placed: [{ task: "j1.0.0.0", endpointId: "a1" }],
    });
    driver.advanceTo(200);
    driver.list("a1", {
      ended: [{ number: 1, task: "j1.0.0.0", run: 7, how: "done" }],
    });

    assert.equal(driver.starts.length, 0);
    assert.equal(driver.outcomes.get("j1")?.type, "completed");
  });
});
