import type { CAC } from "cac";
import { readFileSync } from "node:fs";
import { formatTimeline } from "../explain/format_timeline.ts";
import { readTimeline } from "../explain/read_timeline.ts";

/** File descriptor of standard input. */
const STDIN_FD = 0;

/** Adds `chivegrade explain`: prints the timeline of one request from the logs of all processes. */
export function addExplainCommand(cli: CAC): void {
  cli.command(
    "explain <id> [...files]",
    "Print the log lines of one request from files (or standard input), with the time between them",
  ).action((id: string, files: string[]) => {
    const sources = files.length === 0 ? [STDIN_FD] : files;
    const texts = sources.map((source) => readFileSync(source, "utf8"));
    // cac parses an id that consists of digits as a number.
    const timeline = readTimeline(String(id), texts);
    process.stdout.write(formatTimeline(String(id), timeline) + "\n");
  });
}
