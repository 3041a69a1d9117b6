import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createTicker } from "../../src/vm/create_ticker.ts";

describe("what recurs in a VM's process", () => {
  beforeEach(() => mock.timers.enable({ apis: ["setInterval"] }));
  afterEach(() => mock.timers.reset());

  test("runs together, each in its time", () => {
    const ticker = createTicker();
    const runs: string[] = [];
    ticker.every(100, () => runs.push("often"));
    ticker.every(200, () => runs.push("seldom"));
    mock.timers.tick(400);

    assert.deepEqual(
      runs,
      ["often", "often", "seldom", "often", "often", "seldom"],
    );
    ticker.stop();
  });

  test("ends by itself, also from within", () => {
    const ticker = createTicker();
    let runs = 0;
    const stop = ticker.every(100, () => {
      runs += 1;
      stop();
    });
    mock.timers.tick(500);

    assert.equal(runs, 1);
    ticker.stop();
  });

  test("is over once the ticker is stopped", () => {
    const ticker = createTicker();
    let runs = 0;
    ticker.every(100, () => runs += 1);
    ticker.stop();
    mock.timers.tick(500);

    assert.equal(runs, 0);
  });
});
