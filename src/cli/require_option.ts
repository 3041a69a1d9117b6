import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Returns the value of an option as a string. Throws an error that counts as wrong use of the command line when the option is missing. */
export function requireOption(
  value: string | undefined,
  option: string,
): string {
  if (value !== undefined) return String(value);
  const error = new ChivegradeError("requestInvalid", {
    found: `--${option} is missing`,
    remedy: "'chivegrade COMMAND --help' shows an example",
  });
  // runCli maps errors of this name, which cac itself uses, to the exit code for wrong use.
  error.name = "CACError";
  throw error;
}
