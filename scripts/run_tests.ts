import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { buildBundles } from "./build_bundles.ts";

/** Test files run at once; the process tests need the machine to themselves. */
const CONCURRENCY = 3;
/** A test file that hangs is ended and counts as failed after this, in ms. */
const FILE_TIMEOUT_MS = 150_000;

const knownRed = readKnownRed();
const counts = { passed: 0, failed: 0, knownRed: [] as string[] };

await buildBundles();
const files = findTestFiles(process.argv.slice(2));
const stream = run({
  files,
  concurrency: CONCURRENCY,
  timeout: FILE_TIMEOUT_MS,
});
stream.on("test:pass", (event) => {
  if (isLeaf(event)) counts.passed += 1;
});
stream.on("test:fail", (event) => {
  if (!isLeaf(event)) return;
  if (knownRed.includes(event.name)) counts.knownRed.push(event.name);
  else counts.failed += 1;
});
stream.on("end", printCounts);
stream.compose(new spec()).pipe(process.stdout);

function isLeaf(event: { details?: { type?: string } }): boolean {
  return event.details?.type !== "suite";
}

/** Entries are lines of the form `test: NAME`; the lines below one describe it. */
function readKnownRed(): string[] {
  return readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

function findTestFiles(patterns: string[]): string[] {
  const all = readdirSync("test", { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith("_test.ts"))
    .map((file) => join("test", file))
    .sort();
  if (patterns.length === 0) return all;
  return all.filter((file) => patterns.some((part) => file.includes(part)));
}

function printCounts(): void {
  process.exitCode = counts.failed === 0 && counts.passed > 0 ? 0 : 1;
  setImmediate(() => {
    for (const name of counts.knownRed) console.log(`known red: ${name}`);
    console.log(`${counts.passed} passed, ${counts.failed} failed`);
  });
}
