import { readFileSync } from "node:fs";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { readError } from "../errors/read_error.ts";

/** Reads and parses a JSON file; '-' stands for standard input. Throws `requestInvalid` when it can't be read or is not JSON. */
export function readJsonFile(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file === "-" ? 0 : file, "utf8"));
  } catch (thrown) {
    const cause = readError(thrown);
    throw new ChivegradeError("requestInvalid", {
      found: `${file} is not a readable JSON file (${cause.message})`,
      remedy: "Name an existing file that holds JSON, or '-'",
      cause,
    });
  }
}
