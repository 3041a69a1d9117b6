import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Classifies the error of a store call: `notDone` when the store refused the call, `unknown` when the call may have taken effect. */
export function classifyStoreError(thrown: unknown): "notDone" | "unknown" {
  const isRefusal = thrown instanceof ChivegradeError &&
    thrown.kind === "platformRefused";
  return isRefusal ? "notDone" : "unknown";
}
