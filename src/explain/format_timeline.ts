import type { TimelineEntry } from "./timeline_entry.ts";

/**
 * Formats the log lines of a request as text, one a row, each with the time in
 * ms since the row above it. The text ends with the longest gap between two
 * rows and with the number of malformed lines, if there are any.
 */
export function formatTimeline(
  id: string,
  timeline: { lines: TimelineEntry[]; malformedLines: number },
): string {
  const { lines, malformedLines } = timeline;
  const note = malformedLines > 0
    ? [`${malformedLines} lines could not be read`]
    : [];
  if (lines.length === 0) {
    return [`no line of ${id}: it was not logged here, or not sampled`, ...note]
      .join("\n");
  }
  const gaps = lines.map((line, index) =>
    index === 0 ? 0 : line.atMs - lines[index - 1].atMs
  );
  const longestIndex = gaps.indexOf(Math.max(...gaps));
  const rows = lines.map((line, index) =>
    `${formatTime(line.atMs)} +${
      String(gaps[index]).padStart(5)
    } ms ${line.process} ${line.event} ${formatFields(line.fields)}`
  );
  const longestGap = longestIndex > 0
    ? [
      `longest gap: ${gaps[longestIndex]} ms, from ${
        lines[longestIndex - 1].event
      } to ${lines[longestIndex].event}`,
    ]
    : [];
  return [...rows, ...longestGap, ...note].join("\n");
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString().slice(11, 23);
}

function formatFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
}
