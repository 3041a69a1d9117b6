/** A request that the HTTP server refuses before it is handed on, so that it has not run. */
export type HttpRefusal =
  | { reason: "bodyTooLarge"; maxBytes: number }
  | { reason: "unfinishedBodies" | "unreadBytes"; retryAfterMs: number };
