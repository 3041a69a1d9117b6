/** Handle to a running entry. */
export type EntryHandle = {
  name: string;
  /** Base URL for callers. */
  url: string;
  /** Stops gracefully: jobs and requests in flight are completed first. */
  stop(): Promise<void>;
};
