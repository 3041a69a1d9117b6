import type { Configuration } from "../config/configuration.ts";
import { isTokenValid } from "./is_token_valid.ts";

/** Finds the name of the operator whose token an Authorization header has; undefined when there is none. */
export function findOperator(
  configuration: Configuration | undefined,
  header: string | undefined,
): string | undefined {
  const operators = Object.entries(configuration?.operators ?? {});
  const matches = operators.filter(([, operator]) =>
    isTokenValid(header, operator.tokenDigest)
  );
  return matches[0]?.[0];
}
