import type { Registry } from "../metrics/registry.ts";

type Fields = Record<string, string | number | boolean | undefined>;

/** Counts a log event, and times those that end something, so that logs and metrics never differ. */
export function countEvent(
  registry: Registry,
  event: string,
  fields: Fields = {},
): void {
  const labels: Record<string, string> = { event };
  for (const key of ["outcome", "reason", "how", "decision"]) {
    const value = fields[key];
    if (typeof value === "string") labels[key] = value.slice(0, 40);
  }
  registry.count("events", labels);
  const { tookMs, waitedMs } = fields;
  if (event === "answered" && typeof tookMs === "number") {
    registry.observe("answer_ms", tookMs);
  }
  if (event === "taskEnded" && typeof tookMs === "number") {
    registry.observe("run_ms", tookMs);
  }
  if (event === "taskPlaced" && typeof waitedMs === "number") {
    registry.observe("wait_for_room_ms", waitedMs);
  }
}
