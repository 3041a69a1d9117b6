/** Result of sending a start request to an endpoint. */
export type StartReply =
  | { type: "accepted" }
  /** The endpoint did not start the run and will not. */
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
  /** No reply: the run may have started or may still start later. */
  | { type: "unanswered" };
