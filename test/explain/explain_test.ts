import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { formatStory } from "../../src/explain/format_story.ts";
import { readStory } from "../../src/explain/read_story.ts";

const ID = "7a3fa5982b957c96";
const VM_LOG = [
  `{"atMs":1000,"process":"vm-1","event":"received","job":"${ID}"}`,
  `{"atMs":1900,"process":"vm-1","event":"answered","job":"${ID}","outcome":"refused"}`,
  `{"atMs":1200,"process":"vm-1","event":"received","job":"other"}`,
].join("\n");
const SCHEDULER_LOG = [
  `12.5 vm-2 {"atMs":1010,"process":"vm-2","event":"jobAccepted","job":"${ID}"}`,
  `{"atMs":1050,"process":"vm-2","event":"taskPlaced","task":"${ID}.0.0.1"}`,
  `{"atMs":17`,
].join("\n");

describe("explaining a request", () => {
  test("lines of all processes come in order of time", () => {
    const { lines } = readStory(ID, [VM_LOG, SCHEDULER_LOG]);
    assert.deepEqual(
      lines.map(({ event }) => event),
      ["received", "jobAccepted", "taskPlaced", "answered"],
    );
  });

  test("the longest gap is named, and bad lines are counted", () => {
    const text = formatStory(ID, readStory(ID, [VM_LOG, SCHEDULER_LOG]));
    assert.match(text, /longest gap: 850 ms, from taskPlaced to answered/);
    assert.match(text, /1 lines could not be read/);
  });

  test("an id that was not logged is said to be so", () => {
    assert.match(formatStory("x", readStory("x", [VM_LOG])), /no line of x/);
  });
});
