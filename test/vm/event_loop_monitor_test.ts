import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createEventLoopMonitor } from "../../src/vm/create_event_loop_monitor.ts";
import { createTicker } from "../../src/vm/create_ticker.ts";

describe("the mean event-loop delay", () => {
  let nowMs = 0;
  beforeEach(() => {
    nowMs = 1_000;
    mock.timers.enable({ apis: ["setInterval"] });
    mock.method(performance, "now", () => nowMs);
  });
  afterEach(() => {
    mock.timers.reset();
    mock.restoreAll();
  });

  function addSamples(
    monitor: { readDelayMs(): number },
    intervalMs: number,
    times = 1,
  ) {
    for (let index = 0; index < times; index += 1) {
      nowMs += intervalMs;
      mock.timers.tick(100);
    }
    return monitor.readDelayMs();
  }

  test("is 0 while timers fire in time", () => {
    const monitor = createEventLoopMonitor(createTicker());
    assert.equal(addSamples(monitor, 100, 50), 0);
    monitor.stop();
  });

  test("comes close to a new delay within half a second", () => {
    const monitor = createEventLoopMonitor(createTicker());
    const delayMs = addSamples(monitor, 200, 5);
    assert.ok(delayMs > 70, String(delayMs));
    monitor.stop();
  });

  test("counts one long pause as a short one", () => {
    const monitor = createEventLoopMonitor(createTicker());
    assert.ok(addSamples(monitor, 4_000) < 40);
    monitor.stop();
  });
});
