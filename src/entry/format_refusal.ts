import { match, P } from "ts-pattern";
import type { HttpRefusal } from "../http/http_refusal.ts";

/** Formats the answer to a request that is refused before it is a submission. */
export function formatRefusal(refusal: HttpRefusal): object {
  const failure = match(refusal)
    .with({ reason: "bodyTooLarge" }, ({ maxBytes }) => ({
      kind: "requestTooLarge",
      message: `The body is over ${maxBytes} bytes; split the job`,
    }))
    .with({ reason: P.union("unfinishedBodies", "unreadBytes") }, () => ({
      kind: "overloaded",
      message:
        "Too many requests are being received at once; send the request again, at once whole",
    }))
    .exhaustive();
  const retryAfterMs = "retryAfterMs" in refusal
    ? { retryAfterMs: refusal.retryAfterMs }
    : {};
  return { status: "refused", failure, notRun: true, ...retryAfterMs };
}
