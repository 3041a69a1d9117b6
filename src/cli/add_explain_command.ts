import type { CAC } from "cac";
import { readFileSync } from "node:fs";
import { formatStory } from "../explain/format_story.ts";
import { readStory } from "../explain/read_story.ts";

/** Standard input's descriptor. */
const STANDARD_INPUT = 0;

/** Adds `explain`: a request's story out of the logs of all processes. */
export function addExplainCommand(cli: CAC): void {
  cli.command(
    "explain <id> [...files]",
    "Print what the logs in the files (or on standard input) tell of a request",
  ).action((id: string, files: string[]) => {
    const sources = files.length === 0 ? [STANDARD_INPUT] : files;
    const texts = sources.map((source) => readFileSync(source, "utf8"));
    // An id of digits alone comes parsed as a number.
    const story = readStory(String(id), texts);
    process.stdout.write(formatStory(String(id), story) + "\n");
  });
}
