import type { EventFields } from "../log/event_fields.ts";
import type { EventName } from "../log/event_name.ts";

/** Events that tell of a request on its good way. */
const ORDINARY: EventName[] = [
  "received",
  "jobAccepted",
  "taskPlaced",
  "endStored",
];
/** Of these only the named outcomes do. */
const GOOD_OUTCOMES: { [Event in EventName]?: string } = {
  stored: "stored",
  jobEnded: "completed",
  answered: "completed",
};

/** Whether a log event tells nothing but that a request goes its good way. */
export function isRoutineEvent(
  event: EventName,
  fields: EventFields,
): boolean {
  // A task's further starts tell that an earlier run is taken as over.
  const isRestart = event === "taskPlaced" && fields.earlierRun !== 0;
  if (ORDINARY.includes(event)) return !isRestart;
  if (event === "taskEnded") return fields.how === "done";
  const good = GOOD_OUTCOMES[event];
  return good !== undefined && fields.outcome === good;
}
