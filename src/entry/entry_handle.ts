/** A running entry, for whoever started it. */
export type EntryHandle = {
  name: string;
  /** Base URL for callers. */
  url: string;
  /** Stops gracefully: nothing in flight is cut off. */
  stop(): Promise<void>;
};
