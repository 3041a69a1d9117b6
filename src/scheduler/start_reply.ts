/** What came of sending a start. */
export type StartReply =
  | { type: "accepted" }
  /** Nothing was started. */
  | {
    type: "rejected";
    reason:
      | "superseded"
      | "olderRun"
      | "expired"
      | "noRoom"
      | "unhealthy"
      | "otherInstance"
      | "invalid"
      | "neverSent";
  }
  /** The start may be carried out, now or later. */
  | { type: "unanswered" };
