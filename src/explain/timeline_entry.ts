/** One parsed log line of a request. */
export type TimelineEntry = {
  /** When the event was logged, in Unix ms. */
  atMs: number;
  process: string;
  event: string;
  /** The fields of the line other than those above. */
  fields: Record<string, unknown>;
};
