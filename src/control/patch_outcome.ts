import type { ConfigurationChange } from "../config/configuration_change.ts";

/** The outcome of a patch. */
export type PatchOutcome =
  | { type: "accepted"; version: number; changes: ConfigurationChange[] }
  | { type: "wouldApply"; version: number; changes: ConfigurationChange[] }
  /** Another patch was accepted first; `changes` are those from the base to the present version. */
  | { type: "conflict"; version: number; changes: ConfigurationChange[] };
