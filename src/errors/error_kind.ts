/** The kinds of error. They are stable, because scripts may match on them. */
export type ErrorKind =
  | "settingsInvalid"
  | "addressInUse"
  | "platformUnavailable"
  | "platformRefused"
  | "patchInvalid"
  | "patchConflict"
  | "patchIdReused"
  | "requestInvalid"
  | "tokenInvalid"
  | "notFound"
  | "versionMissing"
  | "peerUnavailable"
  | "chartViolation";
