import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createBatch } from "../../src/vm/create_batch.ts";
import { createPause } from "../../src/vm/create_pause.ts";

describe("messages of a link", () => {
  let sent: string[][] = [];
  let send: (message: string) => void;

  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout", "setImmediate"] });
    sent = [];
    send = createBatch<string>(
      (messages) => sent.push(messages),
      (message) => message === "progress",
    );
  });
  afterEach(() => mock.timers.reset());

  test("of one turn leave together", () => {
    send("end");
    send("status");
    mock.timers.tick(0);

    assert.deepEqual(sent, [["end", "status"]]);
  });

  test("progress leaves with the next end, before it", () => {
    send("progress");
    mock.timers.tick(2);
    assert.deepEqual(sent, []);
    send("end");
    mock.timers.tick(0);

    assert.deepEqual(sent, [["progress", "end"]]);
  });

  test("progress without an end leaves after some ms", () => {
    send("progress");
    send("progress");
    mock.timers.tick(10);

    assert.deepEqual(sent, [["progress", "progress"]]);
    mock.timers.tick(50);
    assert.equal(sent.length, 1);
  });
});

describe("a pause", () => {
  beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
  afterEach(() => mock.timers.reset());

  async function isOver(wait: Promise<void>): Promise<boolean> {
    let isDone = false;
    wait.then(() => isDone = true);
    for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
    return isDone;
  }

  test("lasts its time", async () => {
    const wait = createPause().wait(200);
    mock.timers.tick(199);
    assert.equal(await isOver(wait), false);
    mock.timers.tick(1);
    assert.equal(await isOver(wait), true);
  });

  test("is over at once when something happens", async () => {
    const pause = createPause();
    const wait = pause.wait(200);
    pause.wake();
    assert.equal(await isOver(wait), true);
  });

  test("does not miss what happened before it", async () => {
    const pause = createPause();
    pause.wake();
    assert.equal(await isOver(pause.wait(200)), true);
    assert.equal(await isOver(pause.wait(200)), false);
  });
});
