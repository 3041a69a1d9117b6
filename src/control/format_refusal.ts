import { match, P } from "ts-pattern";
import type { HttpRefusal } from "../http/http_refusal.ts";

/** Formats the answer to a request that is refused before its token is read. */
export function formatRefusal(refusal: HttpRefusal): object {
  const message = match(refusal)
    .with(
      { reason: "bodyTooLarge" },
      ({ maxBytes }) => `The body is over ${maxBytes} bytes; split the patch`,
    )
    .with(
      { reason: P.union("unfinishedBodies", "unreadBytes") },
      () => "Too many requests are being received at once; send it again",
    )
    .exhaustive();
  return { kind: "requestInvalid", message, notRun: true };
}
