import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { loadSettings } from "../settings/load_settings.ts";
import type { Settings } from "../settings/settings.ts";

/** Loads a settings file. Throws `settingsInvalid` when the file is for another role. */
export function loadRoleSettings<Role extends Settings["role"]>(
  file: string,
  role: Role,
): Settings & { role: Role } {
  const settings = loadSettings(file);
  if (settings.role !== role) {
    throw new ChivegradeError("settingsInvalid", {
      found: `${file}: role: the file is for '${settings.role}', not '${role}'`,
      remedy: `Run 'chivegrade ${settings.role} ${file}' or name another file`,
    });
  }
  return settings as Settings & { role: Role };
}
