type Fields = Record<string, string | number | boolean | undefined>;

/** Events that tell of a request on its good way. */
const ORDINARY = ["received", "jobAccepted", "taskPlaced"];

/** Whether a log event tells nothing but that a request goes its good way. */
export function isOrdinaryEvent(event: string, fields: Fields): boolean {
  if (ORDINARY.includes(event)) return true;
  if (event === "taskEnded") return fields.how === "done";
  const isEnd = event === "jobEnded" || event === "answered";
  return isEnd && fields.outcome === "completed";
}
