import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { formatTimeline } from "../../src/explain/format_timeline.ts";
import { readTimeline } from "../../src/explain/read_timeline.ts";

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
  test("lines of all processes are sorted by time", () => {
    const { lines } = readTimeline(ID, [VM_LOG, SCHEDULER_LOG]);
    assert.deepEqual(
      lines.map(({ event }) => event),
      ["received", "jobAccepted", "taskPlaced", "answered"],
    );
  });

  test("the text names the longest gap and the number of malformed lines", () => {
    const text = formatTimeline(ID, readTimeline(ID, [VM_LOG, SCHEDULER_LOG]));
    assert.match(text, /longest gap: 850 ms, from taskPlaced to answered/);
    assert.match(text, /1 lines could not be read/);
  });

  test("an id without log lines is reported as not found", () => {
    assert.match(
      formatTimeline("x", readTimeline("x", [VM_LOG])),
      /no line of x/,
    );
  });
});
