/**
 * The outcome of storing a job. `known`: the store already had a job of that
 * id; `withdrawn`: the job was cancelled before it was stored; `neverFits`: no
 * endpoint could run it; `tooLarge`: its row would exceed the store's limit;
 * `busy`: the backlog is full; `unknown`: the store did not answer in time, so
 * that the job may be stored.
 */
export type StoreOutcome =
  | "stored"
  | "known"
  | "withdrawn"
  | "notStored"
  | "neverFits"
  | "tooLarge"
  | "busy"
  | "unknown";
