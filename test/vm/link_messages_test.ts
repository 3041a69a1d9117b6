import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createMessageBatcher } from "../../src/vm/create_message_batcher.ts";
import { createInterruptibleDelay } from "../../src/vm/create_interruptible_delay.ts";

describe("messages of a link", () => {
  let sent: string[][] = [];
  let send: (message: string) => void;

  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout", "setImmediate"] });
    sent = [];
    send = createMessageBatcher<string>(
      (messages) => sent.push(messages),
      (message) => message === "progress",
    );
  });
  afterEach(() => mock.timers.reset());

  test("of one turn of the event loop are sent together", () => {
    send("end");
    send("status");
    mock.timers.tick(0);

    assert.deepEqual(sent, [["end", "status"]]);
  });

  test("on progress are sent together with the next job end, and before that message", () => {
    send("progress");
    mock.timers.tick(2);
    assert.deepEqual(sent, []);
    send("end");
    mock.timers.tick(0);

    assert.deepEqual(sent, [["progress", "end"]]);
  });

  test("on progress are sent after some ms when no job ends", () => {
    send("progress");
    send("progress");
    mock.timers.tick(50);

    assert.deepEqual(sent, [["progress", "progress"]]);
    mock.timers.tick(50);
    assert.equal(sent.length, 1);
  });
});

describe("an interruptible delay", () => {
  beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
  afterEach(() => mock.timers.reset());

  async function isOver(wait: Promise<void>): Promise<boolean> {
    let isDone = false;
    wait.then(() => isDone = true);
    for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
    return isDone;
  }

  test("lasts its duration", async () => {
    const wait = createInterruptibleDelay().wait(200);
    mock.timers.tick(199);
    assert.equal(await isOver(wait), false);
    mock.timers.tick(1);
    assert.equal(await isOver(wait), true);
  });

  test("ends at once when it is woken", async () => {
    const delay = createInterruptibleDelay();
    const wait = delay.wait(200);
    delay.wake();
    assert.equal(await isOver(wait), true);
  });

  test("ends at once when it was woken before it started", async () => {
    const delay = createInterruptibleDelay();
    delay.wake();
    assert.equal(await isOver(delay.wait(200)), true);
    assert.equal(await isOver(delay.wait(200)), false);
  });
});
