import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createTicker } from "../../src/vm/create_ticker.ts";

describe("periodic work", () => {
  beforeEach(() => mock.timers.enable({ apis: ["setInterval"] }));
  afterEach(() => mock.timers.reset());

  test("runs on common ticks, each at its interval", () => {
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

  test("can be stopped from its own callback", () => {
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

  test("ends when the ticker is stopped", () => {
    const ticker = createTicker();
    let runs = 0;
    ticker.every(100, () => runs += 1);
    ticker.stop();
    mock.timers.tick(500);

    assert.equal(runs, 0);
  });
});
