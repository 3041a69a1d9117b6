import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, test } from "node:test";
import { LOG_EVENTS } from "../../src/log/log_events.ts";

const FOLDERS = [
  "src/vm",
  "src/scheduler",
  "src/stored_jobs",
  "src/evacuation",
  "platform",
];

/** The rows of the log page's tables: an event, and the fields it names. */
function readPage(): Map<string, string[]> {
  const page = readFileSync("docs/reference/logs.md", "utf8");
  const rows = page.split("\n").filter((line) => line.startsWith("| `"));
  return new Map(rows.map((row) => {
    const [event, , fields] = row.split("|").slice(1).map(listNames);
    return [event[0], fields];
  }));
}

function listNames(cell: string): string[] {
  return [...cell.matchAll(/`(\w+)`/g)].map((match) => match[1]);
}

/** The events that the program's calls log. */
function readCalls(): Set<string> {
  const texts = FOLDERS.flatMap((folder) =>
    readdirSync(folder)
      .map((file) => readFileSync(join(folder, file), "utf8"))
  );
  return new Set(texts.flatMap((text) =>
    [
      ...text.matchAll(/\blog\(\s*"(\w+)"/g),
      ...text.matchAll(/recordEvent\(\s*state,\s*"(\w+)"/g),
    ].map((match) => match[1])
  ));
}

describe("the log page", () => {
  test("it names every event with all its fields, and no other", () => {
    const events = Object.entries(LOG_EVENTS)
      .map(([event, fields]) => [event, [...fields]] as const);

    assert.deepEqual([...readPage()], events);
  });

  test("every event is logged somewhere", () => {
    assert.deepEqual([...readCalls()].sort(), Object.keys(LOG_EVENTS).sort());
  });
});
