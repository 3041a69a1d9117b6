/** One log line of a request. */
export type StoryLine = {
  /** Unix ms. */
  atMs: number;
  process: string;
  event: string;
  /** The other fields. */
  fields: Record<string, unknown>;
};
