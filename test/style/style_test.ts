import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, test } from "node:test";

const FOLDERS = ["src", "platform", "stand_ins", "bench", "demo"];

/** Words of the users' platform that only its adapter and its stand-ins may know. */
const PLATFORM_NAMES = [
  "minions?",
  "lastSeen",
  "fenceToken",
  "freeCapacity",
  "coldLeftMs",
  "runId",
  "rows-tx",
  "rows-get",
  "rows-feed",
  "run-start",
  "run-stop",
  "expectedRev",
  "setKeys",
  "bestEffort",
  "antiAffinity",
  "pathPrefix",
  "latencySloMs",
  "maxHoldMs",
  "memMb",
];

function listFiles(): string[] {
  return FOLDERS.flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts"))
      .map((file) => join(folder, file))
  );
}

function listVerbs(): string[] {
  const page = readFileSync("docs/STYLE.md", "utf8");
  const [, section] = page.split("## Verbs that functions begin with");
  const [list] = section.split("`is`, `has` and `can` return");
  return [...list.matchAll(/`(\w+)`/g)].map((match) => match[1]);
}

describe("the house style", () => {
  test("a file has one export at most", () => {
    const crowded = listFiles().filter((file) => {
      const exports = readFileSync(file, "utf8").match(/^export /gm) ?? [];
      return exports.length > 1;
    });

    assert.deepEqual(crowded, []);
  });

  test("the platform's names stay in platform/", () => {
    const names = new RegExp(`\\b(${PLATFORM_NAMES.join("|")})\\b`, "i");
    const leaks = listFiles()
      .filter((file) => !file.startsWith("platform/"))
      .filter((file) => !file.startsWith("stand_ins/node/"))
      .filter((file) => names.test(readFileSync(file, "utf8")));

    assert.deepEqual(leaks, []);
  });

  test("functions begin with a verb of the list in docs/STYLE.md", () => {
    const verbs = listVerbs();
    const others = listFiles().flatMap((file) =>
      [...readFileSync(file, "utf8").matchAll(/function (\w+)/g)]
        .map((match) => match[1])
        .filter((name) => !verbs.includes(/^[a-z]+/.exec(name)?.[0] ?? ""))
        .map((name) => `${file}: ${name}`)
    );

    assert.deepEqual(others, []);
  });
});
