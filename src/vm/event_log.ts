/** Writes one JSON line an event. */
export type EventLog = (
  event: string,
  fields?: Record<string, string | number | boolean | undefined>,
) => void;
