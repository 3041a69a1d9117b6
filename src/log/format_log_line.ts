import type { EventFields } from "./event_fields.ts";
import type { EventName } from "./event_name.ts";

/** Formats a log line as a JSON object; `atMs` is the time of day in ms. */
export function formatLogLine(
  process: string,
  event: EventName,
  options: { atMs: number; fields?: EventFields },
): string {
  const { atMs, fields } = options;
  const start = `{"atMs":${atMs},"process":${
    JSON.stringify(process)
  },"event":"${event}"`;
  const text = fields === undefined ? "{}" : JSON.stringify(fields);
  // The text of the fields is appended as it is, since a merged object would have to be copied for each line.
  return text === "{}" ? `${start}}` : `${start},${text.slice(1)}`;
}
