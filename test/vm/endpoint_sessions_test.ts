import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEndpointSessions } from "../../src/vm/create_endpoint_sessions.ts";
import type { EndpointClient } from "../../src/vm/endpoint_client.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type ListOrder = Parameters<EndpointClient["list"]>[0];

/** A listing as the endpoint gives it at once. */
function createListing(ended: { number: number; task: string }[]) {
  const nowMs = performance.now();
  return {
    sentMs: nowMs,
    receivedMs: nowMs,
    clockMs: nowMs,
    bornMs: 1,
    running: [],
    ended: ended.map((end) => ({ ...end, run: 1, how: "done" as const })),
  };
}

describe("an endpoint's session", () => {
  test("nothing is acknowledged behind a connection that broke, as another process may answer", async () => {
    const driver = createSchedulerDriver();
    driver.addEndpoint("e1");
    const orders: ListOrder[] = [];
    const sessions = createEndpointSessions({
      state: driver.state,
      act: (decide) => decide(performance.now()),
      log: () => {},
      superseded: () => {},
      createClient: () => ({
        start: () => Promise.resolve({ type: "accepted" }),
        stop: () => Promise.resolve(true),
        close: () => {},
        list: async (order) => {
          orders.push(order);
          await new Promise((resolve) => setTimeout(resolve, 10));
          if (orders.length === 3) throw new Error("closed");
          return createListing([{ number: 4, task: "other.0.0.0" }]);
        },
      }),
    });
    sessions.refresh();
    await waitFor(() => orders.length >= 5);
    sessions.close();

    assert.deepEqual(
      orders.slice(0, 5).map(({ lastEnd }) => lastEnd),
      [0, 4, 4, 0, 4],
    );
  });

  test("an endpoint whose ends can't be stored is asked less and less often", async () => {
    const driver = createSchedulerDriver({ areKeptJobsRead: false });
    driver.addEndpoint("e1");
    let asked = 0;
    const sessions = createEndpointSessions({
      state: driver.state,
      act: (decide) => decide(performance.now()),
      log: () => {},
      superseded: () => {},
      createClient: () => ({
        start: () => Promise.resolve({ type: "accepted" }),
        stop: () => Promise.resolve(true),
        close: () => {},
        list: () => {
          asked += 1;
          return Promise.resolve(
            createListing([{ number: 4, task: "other.0.0.0" }]),
          );
        },
      }),
    });
    sessions.refresh();
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    sessions.close();

    assert.ok(asked >= 3 && asked <= 10, `asked ${asked} times`);
  });
});
