import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Whether a call that rejected has surely not taken effect, or may have. */
export function classifyStoreFault(thrown: unknown): "notDone" | "unknown" {
  const isRefusal = thrown instanceof ChivegradeError &&
    thrown.kind === "platformRefused";
  return isRefusal ? "notDone" : "unknown";
}
