import { isPlainObject } from "../utils/is_plain_object.ts";
import type { StoryLine } from "./story_line.ts";

/** Reads the lines of one request out of logs of any number of processes, in order of time; bad lines are counted. */
export function readStory(
  id: string,
  texts: string[],
): { lines: StoryLine[]; badLines: number } {
  const lines: StoryLine[] = [];
  let badLines = 0;
  for (const text of texts.flatMap((one) => one.split("\n"))) {
    if (text.trim() === "") continue;
    const line = parseLine(text);
    if (!line) badLines += 1;
    else if (isOf(id, line)) lines.push(line);
  }
  lines.sort((one, other) => one.atMs - other.atMs);
  return { lines, badLines };
}

/** Whatever stands before the line's JSON, as a collector's prefix, is passed over. */
function parseLine(text: string): StoryLine | undefined {
  try {
    const value: unknown = JSON.parse(text.slice(text.indexOf("{")));
    if (!isPlainObject(value)) return undefined;
    const { atMs, process, event, ...fields } = value;
    if (typeof atMs !== "number" || typeof event !== "string") return undefined;
    return { atMs, process: String(process), event, fields };
  } catch {
    // Counted as a bad line by the caller.
    return undefined;
  }
}

function isOf(id: string, line: StoryLine): boolean {
  const { job, task } = line.fields;
  return job === id || String(task ?? "").startsWith(`${id}.`);
}
