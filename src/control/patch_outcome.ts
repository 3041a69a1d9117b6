import type { ConfigurationChange } from "../config/configuration_change.ts";

/** What became of a patch. */
export type PatchOutcome =
  | { type: "accepted"; version: number; changes: ConfigurationChange[] }
  | { type: "wouldApply"; version: number; changes: ConfigurationChange[] }
  /** Another patch came first; its changes since the base are shown. */
  | { type: "conflict"; version: number; changes: ConfigurationChange[] };
