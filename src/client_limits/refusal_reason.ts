/** Why a client was refused or its connection closed. */
export type RefusalReason =
  | "connections"
  | "unfinishedBodies"
  | "unreadBytes"
  | "unreadAnswers"
  | "queuedRequests"
  | "storeRequests"
  | "bodyTooLarge"
  | "headersTooLarge"
  | "receivedTooSlowly"
  | "malformed";
