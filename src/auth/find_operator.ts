import type { Configuration } from "../config/configuration.ts";
import { isTokenValid } from "./is_token_valid.ts";

/** Finds the operator whose token a header carries. */
export function findOperator(
  configuration: Configuration | undefined,
  header: string | undefined,
): string | undefined {
  const operators = Object.entries(configuration?.operators ?? {});
  const match = operators.filter(([, operator]) =>
    isTokenValid(header, operator.tokenDigest)
  );
  return match[0]?.[0];
}
