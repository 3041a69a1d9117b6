import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { buildBundles } from "./build_bundles.ts";

/** Number of test files that run at once; kept low because tests that start processes depend on timing. */
const MAX_CONCURRENT_FILES = 3;
/** Time after which a test file is ended and counts as failed, in ms. */
const FILE_TIMEOUT_MS = 150_000;
/** The tests of crowds of clients, whose files run one at a time after all others: what a process holds depends on its neighbours. */
const CROWD_FOLDER = join("test", "crowd");
/** Time after which a file of the tests of crowds is ended, in ms; longer, as each of its tests starts a system. */
const CROWD_FILE_TIMEOUT_MS = 400_000;

const knownRedTests = readKnownRed();
const counts = { passed: 0, failed: 0, knownRed: [] as string[] };

await buildBundles();
const files = findTestFiles(process.argv.slice(2));
const isCrowd = (file: string) => file.startsWith(CROWD_FOLDER);
await runFiles(files.filter((file) => !isCrowd(file)), {
  concurrency: MAX_CONCURRENT_FILES,
  timeout: FILE_TIMEOUT_MS,
});
await runFiles(files.filter(isCrowd), {
  concurrency: 1,
  timeout: CROWD_FILE_TIMEOUT_MS,
});
printCounts();

/** Runs test files and adds their results to the counts. */
async function runFiles(
  files: string[],
  options: { concurrency: number; timeout: number },
): Promise<void> {
  if (files.length === 0) return;
  const stream = run({ files, ...options });
  stream.on("test:pass", (event) => {
    if (isTest(event)) counts.passed += 1;
  });
  stream.on("test:fail", (event) => {
    if (!isTest(event)) return;
    if (knownRedTests.includes(event.name)) counts.knownRed.push(event.name);
    else counts.failed += 1;
  });
  for await (const text of stream.compose(new spec())) {
    process.stdout.write(text);
  }
}

/** Returns whether an event is about a test rather than a suite. */
function isTest(event: { details?: { type?: string } }): boolean {
  return event.details?.type !== "suite";
}

/** Reads the names of the known failing tests from the lines `test: NAME` of KNOWN-RED.txt. */
function readKnownRed(): string[] {
  return readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

/** Finds the test files whose path contains one of the patterns; all if there are none. */
function findTestFiles(patterns: string[]): string[] {
  const testFiles = readdirSync("test", { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith("_test.ts"))
    .map((file) => join("test", file))
    .sort();
  if (patterns.length === 0) return testFiles;
  return testFiles.filter((file) =>
    patterns.some((pattern) => file.includes(pattern))
  );
}

function printCounts(): void {
  process.exitCode = counts.failed === 0 && counts.passed > 0 ? 0 : 1;
  setImmediate(() => {
    for (const name of counts.knownRed) console.log(`known red: ${name}`);
    console.log(`${counts.passed} passed, ${counts.failed} failed`);
  });
}
