import type { ConfigurationVersion } from "../../config/configuration_version.ts";
import type { EntryState } from "./entry_state.ts";
import { refreshEndpoints } from "./refresh_endpoints.ts";

/** Puts a configuration version in force; an older one changes nothing. */
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
  refreshEndpoints(state);
  return true;
}
