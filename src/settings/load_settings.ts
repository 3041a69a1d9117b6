import { readFileSync } from "node:fs";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { readError } from "../errors/read_error.ts";
import { parseSettings } from "./parse_settings.ts";
import type { Settings } from "./settings.ts";

/** Reads, parses and checks a settings file. Throws `settingsInvalid` when it can't be read or is not valid. */
export function loadSettings(file: string): Settings {
  return parseSettings(readText(file), file);
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (thrown) {
    throw new ChivegradeError("settingsInvalid", {
      found: `${file} can't be read`,
      remedy: "Name an existing settings file; examples/ holds one a role",
      cause: readError(thrown),
    });
  }
}
