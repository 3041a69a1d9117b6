import type { EventFields } from "../log/event_fields.ts";
import type { EventName } from "../log/event_name.ts";
import type { Registry } from "../metrics/registry.ts";

/** Fields whose values are few, and tell events of one name apart. */
const LABELS = ["outcome", "reason", "how", "decision", "watch"] as const;
/** A longer text is cut, in characters. */
const LABEL_LENGTH = 40;

/** The steps of a request that are timed: the histogram and the field with the time in ms. */
const STEPS: { [Event in EventName]?: [string, "tookMs" | "waitedMs"] } = {
  answered: ["answer_ms", "tookMs"],
  stored: ["store_job_ms", "tookMs"],
  taskPlaced: ["wait_for_room_ms", "waitedMs"],
  taskEnded: ["run_ms", "tookMs"],
  endStored: ["store_end_ms", "tookMs"],
};

/** Counts a log event, and times the step that it ends, so that logs and metrics never differ. */
export function countEvent(
  registry: Registry,
  event: EventName,
  fields: EventFields = {},
): void {
  const labels: Record<string, string> = { event };
  for (const key of LABELS) {
    const value = fields[key];
    if (typeof value === "string") labels[key] = value.slice(0, LABEL_LENGTH);
  }
  registry.count("events", labels);
  const [name, field] = STEPS[event] ?? [];
  const durationMs = field && fields[field];
  if (name && typeof durationMs === "number") {
    registry.observe(name, durationMs);
  }
}
