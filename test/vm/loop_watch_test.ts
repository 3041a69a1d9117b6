import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createLoopWatch } from "../../src/vm/create_loop_watch.ts";
import { createTicker } from "../../src/vm/create_ticker.ts";

describe("how late a process's loop turns", () => {
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

  function turn(watch: { readDelayMs(): number }, tookMs: number, times = 1) {
    for (let index = 0; index < times; index += 1) {
      nowMs += tookMs;
      mock.timers.tick(100);
    }
    return watch.readDelayMs();
  }

  test("is nothing while it turns in time", () => {
    const watch = createLoopWatch(createTicker());
    assert.equal(turn(watch, 100, 50), 0);
    watch.stop();
  });

  test("comes close to the delay within half a second of it", () => {
    const watch = createLoopWatch(createTicker());
    const delayMs = turn(watch, 200, 5);
    assert.ok(delayMs > 70, String(delayMs));
    watch.stop();
  });

  test("one long pause counts as a short one", () => {
    const watch = createLoopWatch(createTicker());
    assert.ok(turn(watch, 4_000) < 40);
    watch.stop();
  });
});
