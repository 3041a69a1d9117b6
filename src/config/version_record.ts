/** The stored record of a configuration version. The records of all versions are the audit trail. */
export type VersionRecord = {
  /** Starts at 1 and increases by one with each accepted patch. */
  version: number;
  /** The operator whose token was sent with the patch. */
  author: string;
  /** Chosen by the operator. A patch that is sent again after its reply was lost has the same id and is applied once. */
  patchId: string;
  /** The JSON merge patch as submitted. */
  patch: unknown;
  /** The whole configuration after the patch. */
  configuration: unknown;
  /** When the control daemon accepted the patch, in Unix ms. */
  acceptedAtMs: number;
  /** Whether the patch was submitted with `force`, which overrides the checks of forcible effects. */
  forced: boolean;
  /** The digest of the preceding version. */
  previousDigest: string;
  /** SHA-256 of the other fields, in hexadecimal. */
  digest: string;
};
