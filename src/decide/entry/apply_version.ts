import type { ConfigurationVersion } from "../../config/configuration_version.ts";
import type { EntryState } from "./entry_state.ts";
import { refreshOwnedEndpoints } from "./refresh_owned_endpoints.ts";

/**
 * Applies a configuration version if it is newer than the current one; returns
 * whether it was applied.
 */
export function applyVersion(
  state: EntryState,
  version: ConfigurationVersion,
): boolean {
  if (version.version <= state.version.version) return false;
  state.version = version;
  state.scheduler.policy = version.configuration.policy;
  for (const [id, share] of state.scheduler.clients) {
    share.weight = version.configuration.clients[id]?.weight ?? share.weight;
  }
  refreshOwnedEndpoints(state);
  return true;
}
