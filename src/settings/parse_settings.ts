import { parse } from "smol-toml";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { readError } from "../errors/read_error.ts";
import { findSettingsConflicts } from "./find_settings_conflicts.ts";
import type { Settings } from "./settings.ts";
import { settingsSchema } from "./settings_schema.ts";

/** Parses and checks the text of a settings file. Throws `settingsInvalid` with every fault and its key; `file` is the name given in the message. */
export function parseSettings(text: string, file: string): Settings {
  const parsed = settingsSchema.safeParse(parseToml(text, file));
  if (!parsed.success) {
    throw createFault(
      file,
      parsed.error.issues.map((issue) =>
        `${issue.path.join(".") || "(file)"}: ${issue.message}`
      ),
    );
  }
  const conflicts = findSettingsConflicts(parsed.data);
  if (conflicts.length > 0) throw createFault(file, conflicts);
  return parsed.data;
}

function parseToml(text: string, file: string): unknown {
  try {
    return parse(text);
  } catch (thrown) {
    const cause = readError(thrown);
    throw createFault(file, [`not TOML: ${cause.message.split("\n")[0]}`]);
  }
}

function createFault(file: string, faults: string[]): ChivegradeError {
  return new ChivegradeError("settingsInvalid", {
    found: `${file}: ${faults.join("; ")}`,
    remedy:
      "Correct each named key (docs/reference/settings.md lists them) and run 'chivegrade check' again",
  });
}
