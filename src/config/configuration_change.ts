/** One leaf that differs between two configurations. */
export type ConfigurationChange = {
  /** Keys from the root to the leaf, joined by dots. */
  path: string;
  /** The earlier value; undefined when the leaf was added. */
  before: unknown;
  /** The later value; undefined when the leaf was removed. */
  after: unknown;
};
