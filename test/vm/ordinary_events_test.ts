import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { isRoutineEvent } from "../../src/vm/is_routine_event.ts";

describe("lines that may be left out under load", () => {
  test("a task's first start is one of them", () => {
    assert.equal(isRoutineEvent("taskPlaced", { earlierRun: 0 }), true);
  });

  test("a start after a run that is taken as over is always written", () => {
    assert.equal(isRoutineEvent("taskPlaced", { earlierRun: 100_001 }), false);
  });

  test("an end is one of them only where the task was done", () => {
    assert.equal(isRoutineEvent("taskEnded", { how: "done" }), true);
    assert.equal(isRoutineEvent("taskEnded", { how: "lapsed" }), false);
  });
});
