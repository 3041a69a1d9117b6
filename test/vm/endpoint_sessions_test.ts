import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEndpointSessions } from "../../src/vm/create_endpoint_sessions.ts";
import type { EndpointClient } from "../../src/vm/endpoint_client.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type ListOrder = Parameters<EndpointClient["list"]>[0];

/** Creates a listing as an endpoint returns it without waiting. */
function createListing(ended: { number: number; task: string }[]) {
  const nowMs = performance.now();
  return {
    sentMs: nowMs,
    receivedMs: nowMs,
    clockMs: nowMs,
    processStartMs: 1,
    running: [],
    ended: ended.map((end) => ({ ...end, run: 2, how: "done" as const })),
  };
}

/** Opens a session to one endpoint, whose listings come from `list`. */
function openSession(
  options: Parameters<typeof createSchedulerDriver>[0],
  list: EndpointClient["list"],
) {
  const driver = createSchedulerDriver(options);
  driver.addEndpoint("e1");
  const sessions = createEndpointSessions({
    state: driver.state,
    applyDecision: (decide) => decide(performance.now()),
    onSuperseded: () => {},
    createClient: () => ({
      start: () => Promise.resolve({ type: "accepted" }),
      stop: () => Promise.resolve(true),
      close: () => {},
      list,
    }),
  });
  sessions.refresh();
  return { sessions, state: driver.state };
}

describe("an endpoint's session", () => {
  test("nothing is acknowledged after a broken connection, as another process may answer", async () => {
    const orders: ListOrder[] = [];
    const { sessions } = openSession({}, async (order) => {
      orders.push(order);
      await new Promise((resolve) => setTimeout(resolve, 10));
      if (orders.length === 3) throw new Error("closed");
      return createListing([{ number: 4, task: "other.0.0.0" }]);
    });
    await waitFor(() => orders.length >= 5);
    sessions.close();

    assert.deepEqual(
      orders.slice(0, 5).map(({ lastEnd }) => lastEnd),
      [0, 4, 4, 0, 4],
    );
  });

  test("an endpoint whose run ends can't be stored is polled less and less often", async () => {
    let asked = 0;
    const { sessions } = openSession({ areStoredJobsRead: false }, () => {
      asked += 1;
      return Promise.resolve(
        createListing([{ number: 4, task: "other.0.0.0" }]),
      );
    });
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    sessions.close();

    assert.ok(asked >= 3 && asked <= 10, `asked ${asked} times`);
  });

  test("an endpoint whose run ends have just been stored is polled again at once", async () => {
    const polledMs: number[] = [];
    const { sessions, state } = openSession({ hasKeptJobs: true }, async () => {
      polledMs.push(performance.now());
      const isFirst = polledMs.length < 4;
      if (!isFirst) await new Promise((resolve) => setTimeout(resolve, 50));
      return createListing([{ number: 4, task: "other.0.0.0" }]);
    });
    await waitFor(() => polledMs.length >= 3);
    // The third pause is longer than the earlier ones.
    await new Promise((resolve) => setTimeout(resolve, 5));
    state.endpoints.get("e1")?.unacknowledgedEnds.clear();
    const acknowledgedMs = performance.now();
    sessions.notifyEndsStored();
    await waitFor(() => polledMs.length >= 4);
    sessions.close();

    assert.ok(polledMs[2] < acknowledgedMs);
    assert.ok(polledMs[3] - acknowledgedMs < polledMs[2] - polledMs[1]);
  });

  // Guards against a run of a later scheduler that counts as one of an earlier scheduler: the endpoint obeyed the later one before it answered the long poll.
  test("a long-polled listing with a new foreign run is not applied", async () => {
    const waits: number[] = [];
    const { sessions, state } = openSession({}, async ({ waitMs }) => {
      waits.push(waitMs);
      await new Promise((resolve) => setTimeout(resolve, 5));
      if (waits.length > 2) return "superseded";
      const running = [{ task: "other.0.0.0", run: 2, progress: 0 }];
      return waitMs === 0
        ? createListing([])
        : { ...createListing([]), running };
    });
    await waitFor(() => waits.length >= 3);
    sessions.close();

    assert.ok(waits[1] > 0);
    assert.equal(waits[2], 0);
    assert.equal(state.endpoints.get("e1")?.foreignRuns.size, 0);
  });

  test("an endpoint with a foreign run is not polled without pause", async () => {
    let asked = 0;
    const { sessions } = openSession({}, async ({ waitMs }) => {
      asked += 1;
      await new Promise((resolve) => setTimeout(resolve, waitMs));
      const running = [{ task: "other.0.0.0", run: 2, progress: 0 }];
      return { ...createListing([]), running };
    });
    await new Promise((resolve) => setTimeout(resolve, 600));
    sessions.close();

    assert.ok(asked >= 10 && asked <= 25, `asked ${asked} times`);
  });
});
