import { isPlainObject } from "../utils/is_plain_object.ts";
import type { TimelineEntry } from "./timeline_entry.ts";

/**
 * Reads the log lines of one request from the logs of any number of processes.
 * Returns them in order of time, and the number of lines, of any request, that
 * are not log events in JSON.
 */
export function readTimeline(
  id: string,
  texts: string[],
): { lines: TimelineEntry[]; malformedLines: number } {
  const lines: TimelineEntry[] = [];
  let malformedLines = 0;
  for (const text of texts.flatMap((one) => one.split("\n"))) {
    if (text.trim() === "") continue;
    const line = parseLine(text);
    if (!line) malformedLines += 1;
    else if (isAboutRequest(id, line)) lines.push(line);
  }
  lines.sort((one, other) => one.atMs - other.atMs);
  return { lines, malformedLines };
}

/** Parses a log line; text before the JSON, such as the prefix of a log collector, is skipped. */
function parseLine(text: string): TimelineEntry | undefined {
  try {
    const value: unknown = JSON.parse(text.slice(text.indexOf("{")));
    if (!isPlainObject(value)) return undefined;
    const { atMs, process, event, ...fields } = value;
    if (typeof atMs !== "number" || typeof event !== "string") return undefined;
    return { atMs, process: String(process), event, fields };
  } catch {
    // The caller counts the line as malformed.
    return undefined;
  }
}

/** Whether a line names the job with this id or one of its tasks, whose ids begin with the id of the job and a dot. */
function isAboutRequest(id: string, line: TimelineEntry): boolean {
  const { job, task } = line.fields;
  return job === id || String(task ?? "").startsWith(`${id}.`);
}
