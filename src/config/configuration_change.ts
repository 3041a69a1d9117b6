/** One leaf that differs between two configurations. */
export type ConfigurationChange = {
  /** Member names joined by dots. */
  path: string;
  before: unknown;
  after: unknown;
};
