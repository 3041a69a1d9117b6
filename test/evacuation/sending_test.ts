import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import { applyEvacuations } from "../../src/evacuation/apply_evacuations.ts";
import { createEndpointClient } from "../../platform/create_endpoint_client.ts";
import { startWorker } from "../../stand_ins/node/start_worker.ts";
import { createAnswerMonitor } from "../../src/vm/create_answer_monitor.ts";
import type { EndpointClient } from "../../src/vm/endpoint_client.ts";
import { sendStart } from "../../src/vm/send_start.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";

type StartOrder = Parameters<EndpointClient["start"]>[0];

/** Places a task in data centre `a` and sends its start through a client whose answers the test gives. */
async function send(
  start: (order: StartOrder) => ReturnType<EndpointClient["start"]>,
) {
  const driver = createSchedulerDriver();
  driver.addIdleEndpoint("e1");
  driver.submit({ id: "j1" });
  const close = () => {
    applyEvacuations(driver.state, { revision: 1, dataCentres: ["a"] }, 0);
  };
  const orders: StartOrder[] = [];
  const client = {
    start: (order: StartOrder) => {
      orders.push(order);
      if (orders.length === 1) close();
      return start(order);
    },
    stop: () => Promise.resolve(true),
    close: () => {},
    list: () => Promise.reject(new Error("not asked")),
  };
  await sendStart(
    {
      state: driver.state,
      applyDecision: (decide) => decide(0),
      onSuperseded: () => {},
    },
    {
      client,
      address: "",
      isOpen: true,
      answers: createAnswerMonitor(),
      wake: () => {},
    },
    driver.starts[0],
  );
  driver.collect();
  return { driver, orders };
}

describe("a start that is under way when its data centre is evacuated", () => {
  test("it is not sent any more if it waited for a connection", async () => {
    const { driver, orders } = await send((order) => {
      assert.equal(order.maySend?.(), false);
      return Promise.resolve({ type: "rejected", reason: "neverSent" });
    });

    assert.equal(orders.length, 1);
    assert.equal(driver.starts[0].task.phase, "waiting");
  });

  test("it is not sent again if it was not answered, and is stopped", async () => {
    const { driver, orders } = await send(() =>
      Promise.resolve({ type: "unanswered" })
    );

    assert.equal(orders.length, 1);
    assert.equal(driver.stops.length, 1);
  });
});

describe("the client of an endpoint", () => {
  let worker: Awaited<ReturnType<typeof startWorker>>;
  let client: EndpointClient;
  beforeEach(async () => {
    worker = await startWorker({ id: "w0", runMs: 10, cpu: 14_000 });
    client = createEndpointClient({
      id: "w0",
      address: worker.address,
      service: "layout",
      dataCentre: "a",
      labels: [],
      room: { cpu: 14_000, memoryMb: 1_000, gpus: 0 },
      isDraining: false,
    });
  });
  afterEach(async () => {
    client.close();
    await worker.stop();
  });

  test("a start that may not be sent reaches no endpoint", async () => {
    const order = {
      task: "j1.0.0.0",
      run: 1,
      spec: "{}",
      leaseEndMs: 60_000,
      token: 1,
      timeoutMs: 1_000,
    };
    const reply = await client.start({ ...order, maySend: () => false });
    assert.deepEqual(reply, { type: "rejected", reason: "neverSent" });
    assert.equal(worker.history.length, 0);
    const sent = await client.start({ ...order, maySend: () => true });

    assert.equal(sent.type, "accepted");
  });
});
