import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { isRoutineEvent } from "../../src/vm/is_routine_event.ts";

describe("log events that may be left out under load", () => {
  test("include the first start of a task", () => {
    assert.equal(isRoutineEvent("taskPlaced", { earlierRun: 0 }), true);
  });

  test("do not include a start after an earlier run", () => {
    assert.equal(isRoutineEvent("taskPlaced", { earlierRun: 100_001 }), false);
  });

  test("include the end of a run only when the task is done", () => {
    assert.equal(isRoutineEvent("taskEnded", { how: "done" }), true);
    assert.equal(isRoutineEvent("taskEnded", { how: "lapsed" }), false);
  });
});
