import type { EventFields } from "../log/event_fields.ts";
import type { EventName } from "../log/event_name.ts";
import type { Registry } from "../metrics/registry.ts";

/** Log fields that become labels of the counter: each has few distinct values. */
const LABEL_FIELDS = ["outcome", "reason", "how", "decision", "watch"] as const;
/** Longer label values are truncated, in characters. */
const MAX_LABEL_LENGTH = 40;

/** Events that end a timed step of a request: the histogram, and the log field that holds the duration in ms. */
const HISTOGRAMS: { [Event in EventName]?: [string, "tookMs" | "waitedMs"] } = {
  answered: ["answer_ms", "tookMs"],
  stored: ["store_job_ms", "tookMs"],
  taskPlaced: ["wait_for_room_ms", "waitedMs"],
  taskEnded: ["run_ms", "tookMs"],
  endStored: ["store_end_ms", "tookMs"],
};

/** Counts a log event and observes the duration of the step that it ends. Metrics derived from log events cannot disagree with the log. */
export function countEvent(
  registry: Registry,
  event: EventName,
  fields: EventFields = {},
): void {
  const labels: Record<string, string> = { event };
  for (const key of LABEL_FIELDS) {
    const value = fields[key];
    if (typeof value === "string") {
      labels[key] = value.slice(0, MAX_LABEL_LENGTH);
    }
  }
  registry.count("events", labels);
  const [name, field] = HISTOGRAMS[event] ?? [];
  const durationMs = field && fields[field];
  if (name && typeof durationMs === "number") {
    registry.observe(name, durationMs);
  }
}
