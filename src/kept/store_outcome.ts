/** Whether a job is in the store: `neverFits` when no endpoint could run it, `unknown` when the store did not say in time. */
export type StoreOutcome =
  | "stored"
  | "known"
  | "notStored"
  | "neverFits"
  | "unknown";
