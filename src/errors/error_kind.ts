/** The kinds of error that the product raises; scripts may match on them. */
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
