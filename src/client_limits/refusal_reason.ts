/** Why a client was refused or its connection closed. */
export type RefusalReason =
  | "connections"
  | "unfinishedBodies"
  | "unreadAnswers"
  | "queuedRequests"
  | "bodyTooLarge"
  | "headersTooLarge"
  | "receivedTooSlowly"
  | "malformed";
