import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Returns an option's value, or says that it has to be given. */
export function requireOption(
  value: string | undefined,
  option: string,
): string {
  if (value !== undefined) return String(value);
  const error = new ChivegradeError("requestInvalid", {
    found: `--${option} is missing`,
    remedy: "'chivegrade COMMAND --help' shows an example",
  });
  error.name = "CACError";
  throw error;
}
