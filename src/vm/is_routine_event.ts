import type { EventFields } from "../log/event_fields.ts";
import type { EventName } from "../log/event_name.ts";

/** Events that report the normal course of a request. */
const ROUTINE_EVENTS = new Set<EventName>([
  "received",
  "jobAccepted",
  "taskPlaced",
  "endStored",
]);
/** Events that report the normal course of a request only with the given outcome. */
const SUCCESS_OUTCOMES: { [Event in EventName]?: string } = {
  stored: "stored",
  jobEnded: "completed",
  answered: "completed",
};

/** Whether a log event reports only the normal course of a request. */
export function isRoutineEvent(
  event: EventName,
  fields: EventFields,
): boolean {
  // A second start of a task shows that the scheduler assumes an earlier run of the task to have ended.
  const isRestart = event === "taskPlaced" && fields.earlierRun !== 0;
  if (ROUTINE_EVENTS.has(event)) return !isRestart;
  if (event === "taskEnded") return fields.how === "done";
  const success = SUCCESS_OUTCOMES[event];
  return success !== undefined && fields.outcome === success;
}
