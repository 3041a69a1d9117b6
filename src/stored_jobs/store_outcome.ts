/** Whether a job is in the store: `neverFits` when no endpoint could run it, `tooLarge` when its row would be, `busy` when too much waits already, `unknown` when the store did not say in time. */
export type StoreOutcome =
  | "stored"
  | "known"
  | "notStored"
  | "neverFits"
  | "tooLarge"
  | "busy"
  | "unknown";
