import type { StoryLine } from "./story_line.ts";

/** Formats a request's lines, each with the time since the one before, and names the longest gap. */
export function formatStory(
  id: string,
  story: { lines: StoryLine[]; badLines: number },
): string {
  const { lines, badLines } = story;
  const note = badLines > 0 ? [`${badLines} lines could not be read`] : [];
  if (lines.length === 0) {
    return [`no line of ${id}: it was not logged here, or not sampled`, ...note]
      .join("\n");
  }
  const gaps = lines.map((line, index) =>
    index === 0 ? 0 : line.atMs - lines[index - 1].atMs
  );
  const longest = gaps.indexOf(Math.max(...gaps));
  const rows = lines.map((line, index) =>
    `${formatTime(line.atMs)} +${
      String(gaps[index]).padStart(5)
    } ms ${line.process} ${line.event} ${formatFields(line.fields)}`
  );
  const cost = longest > 0
    ? [
      `longest gap: ${gaps[longest]} ms, from ${lines[longest - 1].event} to ${
        lines[longest].event
      }`,
    ]
    : [];
  return [...rows, ...cost, ...note].join("\n");
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString().slice(11, 23);
}

function formatFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
}
